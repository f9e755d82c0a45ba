import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine is added whose seeds are down, while the machines that have found each other earlier go on. Checks the rule
 * ONE on the orders that replicas get: no two holders within `leaseMs`, and no lower fence after a higher one.
 */
final class TwoHolders {
    private static final long LEASE_MILLIS = 3_000;
    private static final long TRAFFIC_MILLIS = 32_000;
    private static final int REQUEST_GAP_MILLIS = 1_900;

    private TwoHolders() {
    }

    public static void main(String[] arguments) {
        Deployment.play(arguments, TwoHolders::play);
    }

    private static int play(Deployment deployment) throws IOException, InterruptedException {
        Recorder recorder = deployment.recorder;
        List<Machine> seeds = new ArrayList<>();
        List<Machine> others = new ArrayList<>();
        for (int number = 1; number <= 3; number++) seeds.add(deployment.machine("seed" + number, "zone-a"));
        for (int number = 1; number <= 4; number++) others.add(deployment.machine("front" + number, "zone-a"));
        Machine added = deployment.machine("added", "zone-b");
        List<Machine> first = new ArrayList<>(seeds);
        first.addAll(others);

        // One prefill server of eight is too few for the traffic below, so that whoever dispatches orders a change.
        List<Replica> replicas = new ArrayList<>();
        for (int number = 1; number <= 8; number++) {
            replicas.add(deployment.replica("i-" + number, "brief", number % 2 == 0 ? "zone-a" : "zone-b",
                number == 1 ? "prefill" : "decode", 16, Deployment.SWITCH_MILLIS));
        }
        replicas.forEach(Replica::register);
        deployment.store.put("op/config", Deployment.configuration(7, List.of(Deployment.route("r-brief", "/brief/",
            "streaming", 14_000, 900, "brief",
            ",\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300")), List.of(Deployment.engineService("brief"))));

        List<Machine> all = new ArrayList<>(first);
        all.add(added);
        int port = Machine.sharedPeerPort(all);
        for (Machine machine : first) machine.start(seeds, port);
        for (Machine machine : first) machine.awaitReady(30_000);
        Thread.sleep(3_000);

        // Without the disruption the seeds run on, and the added machine finds the others.
        if (deployment.trouble) for (Machine machine : seeds) machine.kill();
        added.start(seeds, port);
        added.awaitReady(Clock.millis() + 20_000);
        Clock.sleepUntil(Clock.millis() + 15_000);

        recorder.add("traffic starts");
        sendTraffic(deployment, others, added);
        return check(replicas, recorder);
    }

    /** Clients of each zone ask the directory of the nearest machine, as PROTOCOL.md says. */
    private static void sendTraffic(Deployment deployment, List<Machine> others, Machine added)
        throws InterruptedException {
        AtomicInteger number = new AtomicInteger();
        Map<String, Integer> answers = Collections.synchronizedMap(new HashMap<>());
        long end = Clock.millis() + TRAFFIC_MILLIS;
        while (Clock.millis() < end) {
            Machine nearA = others.get(number.get() % others.size());
            for (Machine near : List.of(nearA, added)) {
                int own = number.incrementAndGet();
                Threads.start(() -> sendOne(deployment, near, own, answers));
            }
            Thread.sleep(REQUEST_GAP_MILLIS);
        }
        Thread.sleep(3_000);
        deployment.recorder.add("answers: " + answers);
    }

    private static void sendOne(Deployment deployment, Machine near, int number, Map<String, Integer> answers) {
        String id = String.format("%016x", 0x9c41d07b00000000L + number);
        String result;
        try {
            Http.Message list = Http.call(near.directory, "GET",
                "/resolve?name=" + Deployment.HOST + "&region=region&zone=" + near.zone, List.of(), new byte[0], 1_000);
            String[] addresses = new String(list.body).replaceAll(".*\\[(.*)].*", "$1").replace("\"", "").split(",");
            Http.Message answer = Http.call(addresses[number % addresses.length], "POST", "/brief/2f",
                List.of("Host: " + Deployment.HOST, "X-Request-Id: " + id, "X-Model: m", "X-Token-Usage: 3000,72",
                    "X-Prefix-Hash: " + String.format("%08x:200,%08x:2800", number % 20, number), "X-Deadline-Ms: 14001"),
                "log".getBytes(), 15_000);
            result = "status " + answer.status;
        } catch (IOException failure) {
            result = failure.getClass().getSimpleName();
        }
        answers.merge(result, 1, Integer::sum);
        deployment.recorder.add("request " + id + " by " + near.name + ": " + result);
    }

    private static int check(List<Replica> replicas, Recorder recorder) {
        int broken = 0;
        int orders = 0;
        for (Replica replica : replicas) {
            List<Replica.Order> list = replica.orders();
            orders += list.size();
            for (int later = 1; later < list.size(); later++) {
                Replica.Order order = list.get(later);
                for (Replica.Order earlier : list.subList(0, later)) {
                    if (earlier.holder().equals(order.holder())) continue;
                    boolean turns = order.at() - earlier.at() < LEASE_MILLIS;
                    boolean lowerFence = order.fence() <= earlier.fence();
                    if (!turns && !lowerFence) continue;
                    broken += 1;
                    recorder.add("BROKEN: replica " + replica.id + " got orders of " + earlier.holder() + " (fence "
                        + earlier.fence() + ") and " + order.holder() + " (fence " + order.fence() + ") "
                        + (order.at() - earlier.at()) + " ms apart");
                }
            }
        }
        recorder.add(orders + " orders, " + broken + " pairs that break the rule ONE");
        System.out.println(orders + " orders, " + broken + " pairs that break the rule ONE");
        if (orders == 0) throw new CannotRun("no order was given");
        return broken > 0 ? 1 : 0;
    }
}
