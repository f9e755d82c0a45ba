import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store loses a share of its answers for some seconds. Later, when all has been sound for longer than
 * stabilityWindowMs, a replica reports that it is draining, and exits a little later than drainMs after that.
 */
final class LostAnswerCase {
    private static final long DRAIN_MS = 2_000;

    /** Dose of platform_lost in the site file. */
    private static final double LOST_SHARE = 0.35;
    private static final long LOST_FOR_MS = 4_500;

    /** Time without any disruption before the replica leaves: more than stabilityWindowMs. */
    private static final long SOUND_MS = 3_500;
    private static final int MODEL_REPLICAS = 8;
    private static final long EXIT_AFTER_MS = 3_200;

    private LostAnswerCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, LostAnswerCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            Replica leaving = new Replica(store, record, "desk-1", Deployment.CALLS, null, 6,
                it -> Replica.Work.call(85, 800));
            Replica staying = new Replica(store, record, "desk-2", Deployment.CALLS, null, 6,
                it -> Replica.Work.call(85, 800));
            // The other replicas of the site, which renew their entries in the same store.
            for (int replica = 1; replica <= MODEL_REPLICAS; replica++) {
                Threads.sleep(Replica.HEARTBEAT_MS / (MODEL_REPLICAS + 1));
                new Replica(store, record, "llm-" + replica, Deployment.MODELS, replica < 4 ? "prefill" : "decode", 16,
                    it -> Replica.Work.stream(100, 10, 60));
            }
            try (Router router = Router.start(temporary, "front-1", store.address())) {
                router.awaitReady(20_000);
                AtomicBoolean stopped = new AtomicBoolean();
                Map<String, Long> sentAt = new ConcurrentHashMap<>();
                Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
                for (int index = 0; index < 6; index++) {
                    Client client = new Client(record, router.ip, router.frontPort, 0);
                    Threads.start(() -> {
                        while (!stopped.get()) {
                            long now = record.millis();
                            Client.Answer answer = client.send("POST", "/booking/1", "", new byte[600], 4_000);
                            sentAt.put(answer.id(), now);
                            answers.put(answer.id(), answer);
                            if (answer.closes()) return;
                            Threads.sleep(ThreadLocalRandom.current().nextInt(60));
                        }
                    });
                }
                Threads.sleep(4_000);
                if (trouble) store.loseAnswers(LOST_SHARE);
                record.write("the store loses a share of its answers: %s", trouble);
                Threads.sleep(LOST_FOR_MS);
                store.loseAnswers(0);
                record.write("the store loses no answers any more");
                Threads.sleep(SOUND_MS);
                long drainedAt = record.millis();
                record.write("the store has accepted that %s is draining", leaving.id);
                leaving.drain();
                Threads.sleep(drainedAt + EXIT_AFTER_MS - record.millis());
                leaving.exit();
                Threads.sleep(1_500);
                stopped.set(true);
                Threads.sleep(500);
                List<String> late = leaving.arrivals.keySet().stream()
                    .filter(it -> leaving.arrivals.get(it) > drainedAt + DRAIN_MS).toList();
                long unanswered = answers.values().stream().filter(it -> it.status() != 200)
                    .filter(it -> leaving.runs.containsKey(it.id())).count();
                record.write("requests at %s later than drainMs: %d; run there without an answer: %d; %s still runs: %s",
                    leaving.id, late.size(), unanswered, staying.id, !staying.runs.isEmpty());
                return !late.isEmpty();
            }
        }
    }
}
