/** Starts threads that end with the process; the end of a connection ends its thread quietly. */
final class Threads {
    private Threads() {
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ignored) {
                // The peer closed its connection, or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
