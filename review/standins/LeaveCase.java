import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A replica leaves without the state draining: its entry is removed, and it serves a little longer than drainMs. One
 * second after the removal the store cuts the watches that are waiting; without trouble it does not.
 */
final class LeaveCase {
    private static final long DRAIN_MS = 2_000;
    private static final long CUT_AFTER_MS = 1_000;
    private static final long EXIT_AFTER_MS = 3_200;

    private LeaveCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, LeaveCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            Replica leaving = new Replica(store, record, "desk-1", Deployment.CALLS, null, 6,
                it -> Replica.Work.call(85, 800));
            Replica staying = new Replica(store, record, "desk-2", Deployment.CALLS, null, 6,
                it -> Replica.Work.call(85, 800));
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
                Threads.sleep(6_000);
                long removedAt = record.millis();
                record.write("the entry of %s is removed", leaving.id);
                leaving.unregister();
                Threads.sleep(CUT_AFTER_MS);
                if (trouble) {
                    record.write("the store cuts the waiting watches");
                    store.cutWatches();
                }
                Threads.sleep(removedAt + EXIT_AFTER_MS - record.millis());
                leaving.exit();
                Threads.sleep(1_500);
                stopped.set(true);
                Threads.sleep(500);
                List<String> late = leaving.arrivals.keySet().stream()
                    .filter(it -> leaving.arrivals.get(it) > removedAt + DRAIN_MS).toList();
                long unanswered = answers.values().stream().filter(it -> it.status() != 200)
                    .filter(it -> leaving.runs.containsKey(it.id())).count();
                record.write("requests at %s later than drainMs: %d; run there without an answer: %d; %s still runs: %s",
                    leaving.id, late.size(), unanswered, staying.id, !staying.runs.isEmpty());
                return !late.isEmpty();
            }
        }
    }
}
