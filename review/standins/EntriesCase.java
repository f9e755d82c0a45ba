import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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

    /** The rule counts machines whose processes end by themselves three times. */
    private static final int ENDS = 3;

    private EntriesCase() {
    }

    public static void main(String[] arguments) {
        Case.main(arguments, EntriesCase::run);
    }

    private static boolean run(Recorder record, Path temporary, boolean trouble) throws Exception {
        try (Store store = new Store()) {
            store.put("op/config", Deployment.configuration(1));
            new Replica(store, record, "desk-1", Deployment.CALLS, null, 6, it -> Replica.Work.call(85, 800));
            new Replica(store, record, "desk-2", Deployment.CALLS, null, 6, it -> Replica.Work.call(85, 800));
            List<Router> routers = new ArrayList<>();
            routers.add(Router.start(temporary, "front-1", store.address()));
            routers.add(Router.startBeside(routers.get(0), temporary, "front-2", store.address()));
            try {
                for (Router router : routers) router.awaitReady(20_000);
                AtomicBoolean stopped = new AtomicBoolean();
                List<Client.Answer> lastBookings = new CopyOnWriteArrayList<>();
                long endsAt = record.millis() + OBSERVED_MS + 3_000;
                long lastFrom = endsAt - 5_000;
                for (Router router : routers) {
                    Threads.start(() -> {
                        while (!stopped.get()) {
                            Threads.sleep(100);
                            try (Client client = new Client(record, router.ip, router.frontPort, 0)) {
                                Client.Answer answer = client.send("POST", "/booking/1", "", new byte[600], 4_000);
                                if (record.millis() >= lastFrom) lastBookings.add(answer);
                            } catch (IOException refused) {
                                record.write("client has no connection to %s", router.ip);
                                if (record.millis() >= lastFrom) {
                                    lastBookings.add(new Client.Answer("none", 0, 0, true, "no connection"));
                                }
                            }
                        }
                    });
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
                return ends[0] >= ENDS && ends[1] >= ENDS;
            } finally {
                for (Router router : routers) router.close();
            }
        }
    }
}
