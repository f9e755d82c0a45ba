import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines of a deployment are stopped in turn. Later than three seconds after the signal, clients that have no other
 * address send streams that are longer than they estimate. Checks the rule LOST around a SIGTERM.
 */
final class LongerThanEstimated {
    private static final long TERM_GAP_MILLIS = 1_000;
    private static final long SENT_AFTER_MILLIS = 3_200;
    private static final long GRACE_MILLIS = 8_000;
    private static final int EVENTS = 72;
    private static final int ESTIMATE = 24;
    private static final int TOKEN_MILLIS = 60;
    private static final int WARM_UP_STREAMS = 12;
    private static final int LATE_STREAMS = 4;

    private record Outcome(long sentAt, long endedAt, String machine, String result) {
    }

    private final Deployment deployment;
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger number = new AtomicInteger();

    private LongerThanEstimated(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, deployment -> new LongerThanEstimated(deployment).play());
    }

    private int play() throws IOException, InterruptedException {
        List<Machine> machines = List.of(deployment.machine("front1", "zone-a"), deployment.machine("front2", "zone-b"));
        for (int index = 1; index <= 4; index++) {
            Replica replica = deployment.replica("i-" + index, "brief", index % 2 == 0 ? "zone-a" : "zone-b",
                index == 1 ? "prefill" : "decode", 16, Deployment.SWITCH_MILLIS);
            replica.tokenMillis = TOKEN_MILLIS;
            replica.register();
            replicas.add(replica);
        }
        deployment.store.put("op/config", Deployment.configuration(7, List.of(Deployment.route("r-brief", "/brief/",
            "streaming", 14_000, 900, "brief",
            ",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300")), List.of(Deployment.engineService("brief"))));
        int port = Machine.sharedPeerPort(machines);
        for (Machine machine : machines) machine.start(machines, port);
        for (Machine machine : machines) machine.awaitReady(30_000);

        // The estimates of these streams are right, as they are at the median.
        for (int stream = 0; stream < WARM_UP_STREAMS; stream++) {
            for (Machine machine : machines) send(machine, EVENTS);
            Thread.sleep(150);
        }
        Thread.sleep(7_000);

        long firstTerm = Clock.millis() + 200;
        for (int index = 0; index < machines.size(); index++) {
            Clock.sleepUntil(firstTerm + index * TERM_GAP_MILLIS - 200);
            send(machines.get(index), EVENTS);
            // A stream that is under way at the signal keeps the process running for its time.
            Thread.sleep(200);
            if (deployment.trouble) machines.get(index).terminate();
        }
        for (int index = 0; index < machines.size(); index++) {
            Clock.sleepUntil(firstTerm + index * TERM_GAP_MILLIS + SENT_AFTER_MILLIS);
            for (int stream = 0; stream < LATE_STREAMS; stream++) send(machines.get(index), ESTIMATE);
        }
        Thread.sleep(GRACE_MILLIS);
        return check(machines, firstTerm);
    }

    private void send(Machine machine, int estimate) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number.incrementAndGet());
        replicas.forEach(replica -> replica.streamEvents.put(id, EVENTS));
        long sentAt = Clock.millis();
        Threads.start(() -> {
            String result;
            try {
                Http.Message answer = Http.call(machine.front, "POST", "/brief/2f", List.of("Host: " + Deployment.HOST,
                    "X-Request-Id: " + id, "X-Model: m", "X-Token-Usage: 3000,170", "X-Length-Hint: " + estimate,
                    "X-Prefix-Hash: " + id.substring(8) + ":3000", "X-Deadline-Ms: 14001"), "log".getBytes(), 15_000);
                result = "status " + answer.status + ", complete, " + answer.body.length + " bytes";
            } catch (IOException failure) {
                result = "incomplete: " + failure.getMessage();
            }
            outcomes.put(id, new Outcome(sentAt, Clock.millis(), machine.name, result));
            deployment.recorder.add("stream " + id + " by " + machine.name + ", sent at " + sentAt + ", estimate " + estimate
                + ": " + result);
        });
    }

    /** Counts the streams that a replica began and that ended without a complete answer. */
    private int check(List<Machine> machines, long firstTerm) {
        int lost = 0;
        int late = 0;
        for (Map.Entry<String, Outcome> entry : outcomes.entrySet()) {
            Outcome outcome = entry.getValue();
            int index = outcome.machine().equals(machines.get(0).name) ? 0 : 1;
            long afterTerm = outcome.sentAt() - firstTerm - index * TERM_GAP_MILLIS;
            if (afterTerm <= 3_000) continue;
            late += 1;
            boolean wasRun = replicas.stream().flatMap(replica -> replica.runs().stream())
                .anyMatch(run -> run.id().equals(entry.getKey()));
            if (!wasRun || !outcome.result().startsWith("incomplete")) continue;
            lost += 1;
            deployment.recorder.add("BROKEN: stream " + entry.getKey() + ", sent to " + outcome.machine() + " " + afterTerm
                + " ms after its SIGTERM, was passed on and broken off " + (outcome.endedAt() - outcome.sentAt()) + " ms later");
        }
        String result = lost + " of " + late + " streams that were sent later than 3 s after the SIGTERM were passed on and broken off";
        deployment.recorder.add(result);
        System.out.println(result);
        if (outcomes.values().stream().noneMatch(outcome -> outcome.result().startsWith("status 200"))) {
            throw new CannotRun("no stream was served");
        }
        return lost > 0 ? 1 : 0;
    }
}
