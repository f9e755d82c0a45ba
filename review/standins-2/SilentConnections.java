import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The open connections of all machines to the store go silent for good, without a reset, while new ones work. Once the
 * machines are in touch again, a configuration moves a route to another service. Checks the rule CONFIG.
 */
final class SilentConnections {
    private static final int MACHINES = 12;
    private static final long STABILITY_WINDOW_MILLIS = Bounds.BELFRY.stabilityWindowMs();
    private static final long CONFIG_APPLY_MILLIS = Bounds.BELFRY.configApplyMs();
    private static final long OBSERVED_MILLIS = 20_000;

    private SilentConnections() {
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, SilentConnections::play);
    }

    private static int play(Deployment deployment) throws IOException, InterruptedException {
        Recorder recorder = deployment.recorder;
        List<Machine> machines = new ArrayList<>();
        List<SilenceableProxy> proxies = new ArrayList<>();
        for (int number = 1; number <= MACHINES; number++) {
            Machine machine = deployment.machine("front" + number, number % 2 == 0 ? "zone-a" : "zone-b");
            SilenceableProxy proxy = new SilenceableProxy(machine.store.address);
            machine.storeAddress = proxy.address;
            machines.add(machine);
            proxies.add(proxy);
        }
        List<Replica> before = deployment.plainReplicas("desk", 3, 40);
        deployment.plainReplicas("hall", 3, 40);
        deployment.store.put("op/config", configuration(7, "desk", 4_000));
        int port = Machine.sharedPeerPort(machines);
        for (Machine machine : machines) machine.start(machines.subList(0, 3), port);
        for (Machine machine : machines) machine.awaitReady(40_000);
        Bookings bookings = new Bookings(deployment, machines, 400, 3_900);
        bookings.start();
        Thread.sleep(8_000);

        deployment.store.put("op/config", configuration(9, "desk", 3_900));
        recorder.add("version 9 changes a time-out; acknowledged");
        Thread.sleep(1_500);
        if (deployment.trouble) {
            int count = 0;
            for (SilenceableProxy proxy : proxies) count += proxy.silence();
            recorder.add(count + " open connections to the store go silent; new ones work");
        }
        Thread.sleep(STABILITY_WINDOW_MILLIS + 100);
        long acknowledgedAt = deployment.store.put("op/config", configuration(12, "hall", 3_900));
        recorder.add("version 12 moves /book/ from desk to hall; acknowledged");
        Thread.sleep(OBSERVED_MILLIS);
        int late = bookings.countRunByOldService(before, acknowledgedAt, CONFIG_APPLY_MILLIS);
        if (!bookings.wasAnyServed()) throw new CannotRun("no booking was served");
        return late > 0 ? 1 : 0;
    }

    private static String configuration(long version, String service, int timeout) {
        return Deployment.configuration(version, List.of(
            Deployment.route("r-book", "/book/", "unsafe", timeout, 386, service, ",\"maxAttempts\":1")),
            List.of(Deployment.plainService("desk"), Deployment.plainService("hall")));
    }
}
