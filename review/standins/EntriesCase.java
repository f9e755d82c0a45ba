import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Another writer leaves forty entries that cannot be read among those of the replicas, each of the permitted size;
 * without trouble each has a hundred bytes. The platform starts each process again a second after its end.
 */
final class EntriesCase {
    private static final int MACHINES = 2;
    private static final int ENTRIES = 40;
    private static final int VALUE_BYTES = 1_048_576;
    private static final int SMALL_VALUE_BYTES = 100;
    private static final long OBSERVED_MS = 30_000;

    private static final int REPLICAS = 3;
    private static final int CLIENTS_OF_A_MACHINE = 8;

    /** The rule is broken by more than three requests. */
    private static final int PERMITTED_LOSSES = 3;
    private static final Client.Answer NO_CONNECTION = new Client.Answer("none", 0, 0, true, "no connection");

    private EntriesCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, EntriesCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            List<Replica> desk = new ArrayList<>();
            for (int replica = 1; replica <= REPLICAS; replica++) {
                desk.add(new Replica(store, record, "desk-" + replica, Deployment.CALLS, null, 6,
                    it -> Replica.Work.call(300, 800)));
            }
            List<Router> routers = new ArrayList<>();
            routers.add(Router.start(temporary, "front-1", store.address()));
            routers.add(Router.startBeside(routers.get(0), temporary, "front-2", store.address()));
            try {
                for (Router router : routers) router.awaitReady(20_000);
                AtomicBoolean stopped = new AtomicBoolean();
                List<Client.Answer> kept = new CopyOnWriteArrayList<>();
                List<Client.Answer> lastBookings = new CopyOnWriteArrayList<>();
                long endsAt = record.millis() + OBSERVED_MS + 3_000;
                long lastFrom = endsAt - 5_000;
                for (Router router : routers) {
                    for (int client = 0; client < CLIENTS_OF_A_MACHINE; client++) {
                        Threads.start(() -> {
                            Client connection = new Client(record, router.ip, router.frontPort, 0);
                            while (!stopped.get()) {
                                try {
                                    if (connection == null) {
                                        connection = new Client(record, router.ip, router.frontPort, 0);
                                    }
                                    Client.Answer answer = connection.send("POST", "/booking/1", "", new byte[600], 4_000);
                                    kept.add(answer);
                                    if (record.millis() >= lastFrom) lastBookings.add(answer);
                                    if (answer.closes()) connection = null;
                                } catch (IOException refused) {
                                    if (record.millis() >= lastFrom) lastBookings.add(NO_CONNECTION);
                                }
                                Threads.sleep(ThreadLocalRandom.current().nextInt(connection == null ? 1_000 : 60));
                            }
                        });
                    }
                }
                Threads.sleep(3_000);
                String unreadable = "x".repeat(trouble ? VALUE_BYTES : SMALL_VALUE_BYTES);
                Threads.start(() -> {
                    for (int entry = 1; entry <= ENTRIES; entry++) {
                        store.put("servers/other-" + entry, unreadable);
                        Threads.sleep(150);
                    }
                    record.write("another writer has left %d entries of %d bytes", ENTRIES, unreadable.length());
                });
                int[] ends = new int[MACHINES];
                while (record.millis() < endsAt) {
                    Threads.sleep(100);
                    for (int machine = 0; machine < MACHINES; machine++) {
                        Router router = routers.get(machine);
                        if (router.exitCode() == null) continue;
                        ends[machine] += 1;
                        record.write("process %d has ended by itself with %d: %s", machine + 1, router.exitCode(),
                            router.lastLine());
                        Threads.sleep(1_000);
                        routers.set(machine, router.restart(temporary, "front-" + (machine + 1), store.address()));
                    }
                }
                stopped.set(true);
                Threads.sleep(500);
                record.write("bookings answered with success in the last five seconds: %d of %d",
                    lastBookings.stream().filter(it -> it.status() == 200).count(), lastBookings.size());
                record.write("ends by themselves: %d and %d", ends[0], ends[1]);
                long lost = kept.stream().filter(it -> !it.complete())
                    .filter(it -> desk.stream().anyMatch(replica -> replica.runs.containsKey(it.id()))).count();
                record.write("bookings on kept connections that were passed on and not answered: %d", lost);
                return lost > PERMITTED_LOSSES;
            } finally {
                for (Router router : routers) router.close();
            }
        }
    }
}
