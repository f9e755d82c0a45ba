import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Another writer leaves entries of bytes that cannot be read among those of the servers, each within `valueBytes`; then
 * the store rejects one machine and serves the others. Checks the rule Fault: processes of two machines or more, and a
 * tenth of those in use, end by themselves three times with no disruption there.
 */
final class ForeignEntries {
    private static final int ENTRIES = 10;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final long REJECTION_MILLIS = 9_000;
    private static final int REJECTIONS = 3;
    private static final long PAUSE_MILLIS = 6_000;
    private static final long RESTART_DELAY_MILLIS = 500;
    private static final int ENDS = 3;

    private ForeignEntries() {
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, ForeignEntries::play);
    }

    private static int play(Deployment deployment) throws IOException, InterruptedException {
        Recorder recorder = deployment.recorder;
        Store store = deployment.store;
        List<Machine> machines = List.of(deployment.machine("front1", "zone-a"), deployment.machine("front2", "zone-a"),
            deployment.machine("front3", "zone-b"));
        deployment.plainReplicas("desk", 3, 86);
        store.put("op/config", Deployment.configuration(7, List.of(
            Deployment.route("r-book", "/book/", "unsafe", 4_000, 386, "desk", ",\"maxAttempts\":1")),
            List.of(Deployment.plainService("desk"))));
        int port = Machine.sharedPeerPort(machines);
        for (Machine machine : machines) machine.start(machines, port);
        for (Machine machine : machines) machine.awaitReady(30_000);
        Map<String, Integer> ends = new ConcurrentHashMap<>();
        Threads.start(() -> restart(machines, port, ends, recorder));
        Bookings bookings = new Bookings(deployment, machines, 100, 4_000);
        bookings.start();
        Thread.sleep(3_000);

        if (deployment.trouble) {
            Random random = new Random(1);
            for (int number = 1; number <= ENTRIES; number++) {
                byte[] bytes = new byte[ENTRY_BYTES];
                random.nextBytes(bytes);
                store.put("servers/foreign-" + number, bytes);
                recorder.add("another writer writes servers/foreign-" + number + ", " + ENTRY_BYTES
                    + " bytes that cannot be read");
                Thread.sleep(500);
            }
        }
        Thread.sleep(3_000);
        for (int rejection = 1; rejection <= REJECTIONS; rejection++) {
            if (deployment.trouble) {
                machines.get(0).store.rejects = true;
                recorder.add("the store rejects front1 (503) and serves the others");
            }
            Thread.sleep(REJECTION_MILLIS);
            machines.get(0).store.rejects = false;
            recorder.add("the store serves all machines");
            Thread.sleep(PAUSE_MILLIS);
        }
        return check(machines, ends, bookings, recorder);
    }

    /** Starts a process again a moment after its end, as the platform does. */
    private static void restart(List<Machine> machines, int port, Map<String, Integer> ends, Recorder recorder) {
        try {
            while (true) {
                for (Machine machine : machines) {
                    if (machine.isRunning() || machine.isClosed()) continue;
                    ends.merge(machine.name, 1, Integer::sum);
                    recorder.add("machine " + machine.name + " has ended by itself with status " + machine.exitStatus()
                        + ": " + machine.lastLogLine());
                    Thread.sleep(RESTART_DELAY_MILLIS);
                    machine.start(machines, port);
                }
                Thread.sleep(20);
            }
        } catch (InterruptedException | IOException failure) {
            recorder.add("restarts stop: " + failure);
        }
    }

    private static int check(List<Machine> machines, Map<String, Integer> ends, Bookings bookings, Recorder recorder) {
        recorder.add("answers: " + bookings.counts());
        // The store's rejection is a disruption of the first machine only.
        long broken = machines.stream().skip(1).filter(machine -> ends.getOrDefault(machine.name, 0) >= ENDS).count();
        String result = "processes that ended by themselves: " + ends + "; " + broken + " of " + machines.size()
            + " machines did so " + ENDS + " times with no disruption there";
        recorder.add(result);
        System.out.println(result);
        if (!bookings.wasAnyServed()) throw new CannotRun("no booking was served");
        return broken >= 2 ? 1 : 0;
    }
}
