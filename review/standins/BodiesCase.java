import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Twelve clients send a prompt of the permitted size at the same moment; without trouble they send one after the other.
 * Meanwhile other clients keep their connections and send bookings.
 */
final class BodiesCase {
    private static final int UPLOADS = 12;
    private static final int BOOKING_CLIENTS = 12;

    /** The rule is broken by more than three requests. */
    private static final int PERMITTED_LOSSES = 3;

    private BodiesCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, BodiesCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            List<Replica> desk = List.of(
                new Replica(store, record, "desk-1", Deployment.CALLS, null, 6, it -> Replica.Work.call(300, 800)),
                new Replica(store, record, "desk-2", Deployment.CALLS, null, 6, it -> Replica.Work.call(300, 800)));
            new Replica(store, record, "llm-1", Deployment.MODELS, "prefill", 16, it -> Replica.Work.call(1, 1));
            new Replica(store, record, "llm-2", Deployment.MODELS, "decode", 16, it -> Replica.Work.stream(100, 10, 60));
            try (Router router = Router.start(temporary, "front-1", store.address())) {
                router.awaitReady(20_000);
                List<Client.Answer> kept = new CopyOnWriteArrayList<>();
                AtomicBoolean stopped = new AtomicBoolean();
                for (int index = 0; index < BOOKING_CLIENTS; index++) {
                    Client client = new Client(record, router.ip, router.frontPort, 0);
                    Threads.start(() -> {
                        while (!stopped.get()) {
                            Client.Answer answer = client.send("POST", "/booking/1", "", new byte[600], 4_000);
                            kept.add(answer);
                            if (answer.closes()) return;
                            Threads.sleep(ThreadLocalRandom.current().nextInt(60));
                        }
                    });
                }
                Threads.sleep(4_000);
                CountDownLatch start = new CountDownLatch(1);
                CountDownLatch end = new CountDownLatch(UPLOADS);
                List<Client.Answer> large = new CopyOnWriteArrayList<>();
                for (int index = 0; index < UPLOADS; index++) {
                    long delay = trouble ? 0 : 1_000L * index;
                    Threads.start(() -> {
                        try (Client client = new Client(record, router.ip, router.frontPort, 0)) {
                            start.await();
                            Threads.sleep(delay);
                            large.add(client.send("POST", "/brief/1", Deployment.modelHeaders(3_000, 10),
                                new byte[Deployment.MAXIMUM_BODY_BYTES], 14_000));
                        } finally {
                            end.countDown();
                        }
                    });
                }
                start.countDown();
                end.await();
                Threads.sleep(2_000);
                stopped.set(true);
                Threads.sleep(1_000);
                Integer exit = router.exitCode();
                long lost = kept.stream().filter(it -> !it.complete())
                    .filter(it -> desk.stream().anyMatch(replica -> replica.runs.containsKey(it.id()))).count();
                long served = large.stream().filter(it -> it.status() == 200).count();
                record.write("the process %s; last line of its log: %s",
                    exit == null ? "runs" : "has ended by itself with " + exit, router.lastLine());
                record.write("bookings on kept connections that were passed on and not answered: %d; prompts served: %d",
                    lost, served);
                return lost > PERMITTED_LOSSES;
            }
        }
    }
}
