import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Holds what a case has started, and ends all of it. */
final class Deployment implements AutoCloseable {
    static final String HOST = "ficu95.example";

    /** Time that an engine needs to change its stage. */
    static final int SWITCH_MILLIS = 6_000;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Recorder recorder;
    final Store store;
    final Path folder;
    private final List<Machine> machines = new ArrayList<>();
    private final List<Replica> replicas = new ArrayList<>();

    Deployment(Path record) throws IOException {
        recorder = new Recorder(record);
        recorder.add("trouble: " + (trouble ? "yes" : "no"));
        store = new Store(recorder);
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** A case: returns 1 if the rule was broken and 0 if it held. */
    interface Case {
        int play(Deployment deployment) throws IOException, InterruptedException;
    }

    /** Plays [played] in the folder that [arguments] name, and ends this process with its result. */
    static void play(String[] arguments, Case played) {
        Path folder = Path.of(arguments[0]);
        int status;
        try (Deployment deployment = new Deployment(folder.resolve("record.txt"))) {
            status = played.play(deployment);
            deployment.keepLogs(folder);
        } catch (CannotRun | IOException | InterruptedException failure) {
            System.err.println("cannot run: " + failure);
            status = 2;
        }
        System.exit(status);
    }

    Machine machine(String name, String zone) throws IOException {
        Machine machine = new Machine(name, zone, store, folder, recorder);
        machines.add(machine);
        return machine;
    }

    Replica replica(String id, String service, String zone, String stage, int slots, int switchMillis) throws IOException {
        Replica replica = new Replica(id, service, zone, stage, slots, switchMillis, store, recorder);
        replicas.add(replica);
        return replica;
    }

    /** Returns registered replicas of plain calls, each of which takes [workMillis]. */
    List<Replica> plainReplicas(String service, int count, int workMillis) throws IOException {
        List<Replica> added = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            Replica replica = replica("i-" + service + number, service, number == count ? "zone-b" : "zone-a", null, 6, 0);
            replica.workMillis = workMillis;
            replica.register();
            added.add(replica);
        }
        return added;
    }

    /** Copies the logs of the machines next to the record, for whoever traces a fault. */
    private void keepLogs(Path target) throws IOException {
        if (System.getenv("KEEP_LOGS") == null) return;
        for (Machine machine : machines) {
            Path log = folder.resolve(machine.name + ".log");
            if (Files.exists(log)) Files.copy(log, target.resolve(machine.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    @Override
    public synchronized void close() {
        machines.forEach(Machine::close);
        try {
            for (Replica replica : replicas) replica.close();
            store.close();
            if (Files.exists(folder)) {
                try (Stream<Path> files = Files.walk(folder)) {
                    for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
                }
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static String route(String name, String prefix, String kind, int timeoutMillis, int objectiveMillis, String service, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":" + objectiveMillis
            + ",\"priority\":1,\"service\":\"" + service + "\"" + more + "}";
    }

    static String configuration(long version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":257,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":420,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":16,\"kvCapacityTokens\":38007,\"kvTokenBytes\":131072,\"linkMbps\":740000.0,"
            + "\"moves\":false,\"backups\":false,\"stride\":11,\"most\":12,\"handleTtlS\":0.5,\"roleSwitchS\":"
            + SWITCH_MILLIS / 1_000.0 + ",\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
    }
}
