import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The configuration grows by many routes, then configurations come in quick succession; the last one moves a route to
 * another service. Checks the rule CONFIG on the bookings that are sent later than `configApplyMs` after its
 * acknowledgement.
 */
final class ConfigurationStorm {
    private static final long CONFIG_APPLY_MILLIS = Bounds.BELFRY_GROWN.configApplyMs();
    private static final int GROWTH_ROUTES = 1_400;
    private static final int GROWTHS = 2;
    private static final int STORM_CHANGES = 25;
    private static final int STORM_GAP_MILLIS = 60;
    private static final long OBSERVED_MILLIS = 26_000;

    private ConfigurationStorm() {
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, ConfigurationStorm::play);
    }

    private static int play(Deployment deployment) throws IOException, InterruptedException {
        List<Machine> machines = List.of(deployment.machine("front1", "zone-a"), deployment.machine("front2", "zone-a"),
            deployment.machine("front3", "zone-b"));
        machines.forEach(machine -> machine.bounds = Bounds.BELFRY_GROWN);
        List<Replica> before = deployment.plainReplicas("desk", 3, 40);
        deployment.plainReplicas("hall", 3, 40);
        long version = 7;
        put(deployment, version, 8, "desk", 0);
        int port = Machine.sharedPeerPort(machines);
        for (Machine machine : machines) machine.start(machines, port);
        for (Machine machine : machines) machine.awaitReady(30_000);
        Bookings bookings = new Bookings(deployment, machines, 200, 4_000);
        bookings.start();
        Thread.sleep(3_000);

        // Without the disruption the configurations come at the same pace, but have no further routes.
        int routes = 8;
        for (int growth = 0; growth < GROWTHS; growth++) {
            routes += deployment.trouble ? GROWTH_ROUTES : 0;
            version += 3;
            put(deployment, version, routes, "desk", 0);
            Thread.sleep(4_000);
        }
        for (int change = 1; change <= STORM_CHANGES; change++) {
            version += 2;
            put(deployment, version, routes, "desk", change);
            Thread.sleep(STORM_GAP_MILLIS);
        }
        version += 3;
        long acknowledgedAt = put(deployment, version, routes, "hall", STORM_CHANGES);
        deployment.recorder.add("version " + version + " moves /book/ from desk to hall");
        Thread.sleep(OBSERVED_MILLIS);
        int late = bookings.countRunByOldService(before, acknowledgedAt, CONFIG_APPLY_MILLIS);
        if (!bookings.wasAnyServed()) throw new CannotRun("no booking was served");
        return late > 0 ? 1 : 0;
    }

    private static long put(Deployment deployment, long version, int routes, String service, int change) {
        String text = configuration(version, routes, service, change);
        long at = deployment.store.put("op/config", text);
        deployment.recorder.add("version " + version + " is acknowledged, " + text.length() + " bytes");
        return at;
    }

    /** A configuration with [idle] routes without traffic, of which [change] gives the first one another time-out. */
    private static String configuration(long version, int idle, String service, int change) {
        List<String> routes = new ArrayList<>();
        routes.add(Deployment.route("r-book", "/book/", "unsafe", 4_000, 386, service, ",\"maxAttempts\":1"));
        for (int number = 0; number < idle; number++) {
            int timeout = number == 0 ? 4_000 + change : 4_000;
            routes.add(Deployment.route("r-idle" + number, "/idle" + number + "/", "unsafe", timeout, 386, "desk",
                ",\"maxAttempts\":1"));
        }
        return Deployment.configuration(version, routes,
            List.of(Deployment.plainService("desk"), Deployment.plainService("hall")));
    }
}
