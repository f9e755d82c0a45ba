import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Another writer leaves a few entries of bytes that cannot be read, each within `valueBytes`, at the same moment. Then a
 * replica reports that it leaves. Checks the rule DRAIN on the bookings that reach it.
 */
final class MissedDrain {
    private static final int ENTRIES = 8;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final long DRAIN_MILLIS = Bounds.BELFRY.drainMs();

    /** A replica serves for `drainMs` and "a little longer (at times many seconds)". */
    private static final long SERVED_MILLIS = 6_000;

    private MissedDrain() {
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, MissedDrain::play);
    }

    private static int play(Deployment deployment) throws IOException, InterruptedException {
        Recorder recorder = deployment.recorder;
        Store store = deployment.store;
        List<Machine> machines = List.of(deployment.machine("front1", "zone-a"), deployment.machine("front2", "zone-a"),
            deployment.machine("front3", "zone-b"));
        List<Replica> replicas = deployment.plainReplicas("desk", 3, 86);
        store.put("op/config", Deployment.configuration(7, List.of(
            Deployment.route("r-book", "/book/", "unsafe", 4_000, 386, "desk", ",\"maxAttempts\":1")),
            List.of(Deployment.plainService("desk"))));
        int port = Machine.sharedPeerPort(machines);
        for (Machine machine : machines) machine.start(machines, port);
        for (Machine machine : machines) machine.awaitReady(30_000);
        Bookings bookings = new Bookings(deployment, machines, 100, 4_000);
        bookings.start();
        Thread.sleep(5_000);

        if (deployment.trouble) {
            Random random = new Random(1);
            byte[] bytes = new byte[ENTRY_BYTES];
            random.nextBytes(bytes);
            for (int number = 1; number <= ENTRIES; number++) {
                store.put("servers/foreign-" + number, bytes);
                recorder.add("another writer writes servers/foreign-" + number + ", " + ENTRY_BYTES
                    + " bytes that cannot be read");
            }
        }
        Thread.sleep(2_000);
        Replica leaving = replicas.get(0);
        long acknowledgedAt = leaving.drain();
        Thread.sleep(SERVED_MILLIS);
        leaving.exit();
        Thread.sleep(5_000);
        return check(leaving, acknowledgedAt, bookings, recorder);
    }

    private static int check(Replica leaving, long acknowledgedAt, Bookings bookings, Recorder recorder) {
        int late = 0;
        int lost = 0;
        for (Replica.Run run : leaving.runs()) {
            if (run.at() <= acknowledgedAt + DRAIN_MILLIS) continue;
            late += 1;
            String answer = bookings.answers.get(run.id());
            if (!"status 200".equals(answer)) lost += 1;
            recorder.add("BROKEN: booking " + run.id() + " reached " + leaving.id + " " + (run.at() - acknowledgedAt)
                + " ms after the acknowledgement that it leaves; answer: " + answer);
        }
        Map<String, Integer> counts = bookings.counts();
        String result = late + " bookings reached the leaving replica more than " + DRAIN_MILLIS
            + " ms after the acknowledgement; " + lost + " of them were cut off by its exit";
        recorder.add("answers: " + counts);
        recorder.add(result);
        System.out.println(result);
        if (!bookings.wasAnyServed()) throw new CannotRun("no booking was served");
        return late > 0 ? 1 : 0;
    }
}
