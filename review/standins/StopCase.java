import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * A process is stopped with SIGTERM. Its clients ask the directory again, learn of no other address, and go on to use
 * the address that they have. Streams that they send then must be refused or answered completely.
 */
final class StopCase {
    private static final long GRACE_MS = 8_000;

    /** Requests sent later than this after the SIGTERM are owed a complete answer in any case. */
    private static final long LAST_EXCUSED_MS = 3_000;
    private static final long[] SENT_AFTER_MS = {3_300, 3_700, 4_100, 4_500};

    /** Mean length of the streams of the sheet. */
    private static final int EVENTS = 72;
    private static final long EVENT_MS = 60;

    private StopCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, StopCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            new Replica(store, record, "desk-1", Deployment.CALLS, null, 6, it -> Replica.Work.call(80, 800));
            new Replica(store, record, "llm-1", Deployment.MODELS, "prefill", 16, it -> Replica.Work.call(1, 1));
            Replica decode = new Replica(store, record, "llm-2", Deployment.MODELS, "decode", 16,
                it -> Replica.Work.stream(100, EVENTS, EVENT_MS));
            try (Router router = Router.start(temporary, "front-1", store.address())) {
                router.awaitReady(20_000);
                Client calls = new Client(record, router.ip, router.frontPort, 0);
                for (int call = 0; call < 20; call++) {
                    if (!calls.send("POST", "/booking/1", "", new byte[600], 4_000).complete()) {
                        throw new IllegalStateException("a booking was not answered before the SIGTERM");
                    }
                    Threads.sleep(100);
                }
                long stoppedAt = record.millis();
                if (trouble) {
                    record.write("SIGTERM");
                    router.terminate();
                }
                Map<Long, Client.Answer> answers = new ConcurrentHashMap<>();
                CountDownLatch end = new CountDownLatch(SENT_AFTER_MS.length);
                for (long sentAfter : SENT_AFTER_MS) {
                    Client client = new Client(record, router.ip, router.frontPort, 0);
                    Threads.start(() -> {
                        try {
                            Threads.sleep(stoppedAt + sentAfter - record.millis());
                            record.write("the directory names addresses: %s", router.namesAddresses());
                            answers.put(record.millis() - stoppedAt, client.send("POST", "/brief/1",
                                Deployment.modelHeaders(3_000, EVENTS), new byte[3_000], 14_000));
                        } finally {
                            end.countDown();
                        }
                    });
                }
                end.await();
                boolean inTime = !trouble || router.awaitEnd(Math.max(0, stoppedAt + GRACE_MS - record.millis()));
                record.write("process ended by itself: %s", trouble && inTime);
                long lost = answers.entrySet().stream().filter(it -> it.getKey() > LAST_EXCUSED_MS)
                    .filter(it -> !it.getValue().complete() && decode.runs.containsKey(it.getValue().id())).count();
                record.write("streams that were passed on and broken off: %d of %d", lost, answers.size());
                return lost > 0;
            }
        }
    }
}
