import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadFactory;

/** Writes what was sent, answered and run, with the time in milliseconds since the start. */
final class Recorder {
    private final PrintWriter writer;

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        writer.printf("%7d %s%n", Clock.millis(), line);
        writer.flush();
    }
}

/** Steady time in milliseconds since the start of the case. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleepUntil(long millis) throws InterruptedException {
        long left = millis - Clock.millis();
        if (left > 0) Thread.sleep(left);
    }
}

final class Threads {
    private Threads() {
    }

    static ThreadFactory daemon() {
        return task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void start(Runnable task) {
        daemon().newThread(task).start();
    }
}
