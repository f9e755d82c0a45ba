import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that send bookings, which must run once at most, to every machine at a steady pace. */
final class Bookings {
    /** A booking that was sent at a time to a machine. */
    record Sent(long at, String machine) {
    }

    final Map<String, Sent> sent = new ConcurrentHashMap<>();
    final Map<String, String> answers = new ConcurrentHashMap<>();
    private final Deployment deployment;
    private final List<Machine> machines;
    private final int gapMillis;
    private final int deadlineMillis;
    private final AtomicInteger number = new AtomicInteger();

    Bookings(Deployment deployment, List<Machine> machines, int gapMillis, int deadlineMillis) {
        this.deployment = deployment;
        this.machines = machines;
        this.gapMillis = gapMillis;
        this.deadlineMillis = deadlineMillis;
    }

    void start() {
        Threads.start(() -> {
            try {
                while (true) {
                    for (Machine machine : machines) Threads.start(() -> send(machine));
                    Thread.sleep(gapMillis);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void send(Machine machine) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number.incrementAndGet());
        sent.put(id, new Sent(Clock.millis(), machine.name));
        String result;
        try {
            result = "status " + Http.call(machine.front, "POST", "/book/2f", List.of("Host: " + Deployment.HOST,
                "X-Request-Id: " + id, "X-Deadline-Ms: " + deadlineMillis), "booking".getBytes(), deadlineMillis + 500).status;
        } catch (IOException failure) {
            result = failure.getClass().getSimpleName() + " " + failure.getMessage();
        }
        answers.put(id, result);
        deployment.recorder.add("booking " + id + " by " + machine.name + ": " + result);
    }

    boolean wasAnyServed() {
        return answers.containsValue("status 200");
    }

    /** Counts the answers of each kind. */
    Map<String, Integer> counts() {
        Map<String, Integer> counts = new java.util.TreeMap<>();
        answers.values().forEach(answer -> counts.merge(answer, 1, Integer::sum));
        return counts;
    }

    /**
     * Returns how many bookings the replicas of the old service ran though they were sent later than [applyMillis] after
     * the acknowledgement of the configuration that moved their route.
     */
    int countRunByOldService(List<Replica> old, long acknowledgedAt, long applyMillis) {
        int late = 0;
        long latest = 0;
        for (Replica replica : old) {
            for (Replica.Run run : replica.runs()) {
                Sent request = sent.get(run.id());
                if (request == null || request.at() <= acknowledgedAt + applyMillis) continue;
                late += 1;
                latest = Math.max(latest, request.at() - acknowledgedAt);
                deployment.recorder.add("BROKEN: booking " + run.id() + ", sent to " + request.machine() + " "
                    + (request.at() - acknowledgedAt) + " ms after the acknowledgement, was run by " + replica.id
                    + " of the old service");
            }
        }
        String result = late + " bookings run by the old service though sent more than " + applyMillis
            + " ms after the acknowledgement, the last one " + latest + " ms after it";
        deployment.recorder.add(result);
        System.out.println(result);
        return late;
    }
}
