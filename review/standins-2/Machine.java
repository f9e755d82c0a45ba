import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One `front` machine: the project's program, started with the command of deploy/system.toml. */
final class Machine {
    final String name;
    final String zone;
    final String ip;
    final String front;
    final String ready;
    final String control;
    final String directory;
    final Store.Listener store;

    /** Address of the store in the settings; a proxy may stand before the store. */
    String storeAddress;

    /** Bounds of the sheet whose deployment is played. */
    Bounds bounds = Bounds.BELFRY;
    private final Path folder;
    private final Recorder recorder;
    private Process process;
    private boolean closed = false;
    private List<String> seeds = List.of();

    Machine(String name, String zone, Store store, Path folder, Recorder recorder) throws IOException {
        this.name = name;
        this.zone = zone;
        this.store = store.listen();
        storeAddress = this.store.address;
        this.folder = folder;
        this.recorder = recorder;
        // The port for metrics is fixed, so that each machine has a loopback address of its own.
        ThreadLocalRandom random = ThreadLocalRandom.current();
        ip = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
        front = ip + ":" + freePort();
        ready = ip + ":" + freePort();
        control = ip + ":" + freePort();
        directory = ip + ":" + freePort();
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    synchronized void start(List<Machine> seedMachines, int sharedPeerPort) throws IOException {
        if (closed) return;
        seeds = seedMachines.stream().map(machine -> "\"" + machine.control + "\"").toList();
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, settings(sharedPeerPort));
        List<String> command = command();
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("ARBUTUSNOTCH_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        recorder.add("machine " + name + " (" + ip + ", zone " + zone + ") starts as process " + process.pid()
            + ", seeds " + seeds);
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no run line");
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        String home = System.getenv("JAVA_HOME");
        String java = home == null ? null : home + File.separator + "bin" + File.separator + "java";
        if (java != null && new File(java).canExecute()) words.set(0, java);
        return words;
    }

    private String settings(int sharedPeerPort) {
        return """
            nodeName = "front-%s"
            role = "router"
            machineClass = "front"
            serves = ["front","control","directory"]
            ip = "%s"
            zone = "%s"
            region = "region"
            internalPorts = [%d,%d]
            seeds = [%s]
            bootstrap = true
            inTolerance = false
            discovery = "platform"
            entry = "directory"
            heartbeatMs = 1200
            contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
            [zones]
            zone-a = "region"
            zone-b = "region"
            [listen]
            front = "%s"
            ready = "%s"
            control = "%s"
            directory = "%s"
            [limits]
            cpuShare = 0.51
            cores = 1
            memoryMb = 266
            maxFds = 2069
            linkMbps = 490.0
            diskMb = 0
            [faultTolerance]
            machines = 1
            zones = 0
            regions = 0
            [bounds]
            seedLagS = 3
            reuseAfterS = 2
            stabilityWindowMs = %d
            ackMs = %d
            catchUpS = %d
            drainMs = %d
            graceS = 8
            lossSlackMs = 200
            configApplyMs = %d
            rollbackSlackMs = 250
            skewBoundMs = %d
            retryBudgetRatio = 0.2
            budgetWindowS = 10
            retrySlack = %d
            recoverS = %d
            transitMs = %d
            reuseWindowS = 5.9
            requireFencing = false
            leaseMs = 3000
            thawSlackMs = 300
            ttl_max_s = 5
            [platform]
            address = "%s"
            form = "read"
            writesPerS = 400
            readsPerS = 2000
            historyS = 20
            valueBytes = 1048576
            ttlMinMs = 1000
            """.formatted(name, ip, zone, sharedPeerPort, sharedPeerPort + 15, String.join(",", seeds),
            front, ready, control, directory, bounds.stabilityWindowMs(), bounds.ackMs(), bounds.catchUpS(),
            bounds.drainMs(), bounds.configApplyMs(), bounds.skewBoundMs(), bounds.retrySlack(), bounds.recoverS(),
            bounds.transitMs(), storeAddress);
    }

    /** Returns a port for peers that is free at the addresses of all [machines]. */
    static int sharedPeerPort(List<Machine> machines) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 30_000);
            boolean free = true;
            for (Machine machine : machines) {
                try (DatagramSocket socket = new DatagramSocket(port, InetAddress.getByName(machine.ip))) {
                    free &= socket.isBound();
                } catch (IOException inUse) {
                    free = false;
                }
            }
            if (free) return port;
        }
        throw new IOException("no free port for peers");
    }

    boolean isReady() {
        try {
            return Http.call(ready, "GET", "/ready", List.of(), new byte[0], 1_000).status == 200;
        } catch (IOException failure) {
            return false;
        }
    }

    void awaitReady(long untilMillis) throws InterruptedException {
        while (!isReady()) {
            if (Clock.millis() > untilMillis) throw new CannotRun("machine " + name + " is not ready");
            Thread.sleep(50);
        }
        recorder.add("machine " + name + " is ready");
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** Exit status of a process that has ended. */
    int exitStatus() {
        return process.exitValue();
    }

    /** Asks the process to stop, as the platform does before it kills it. */
    void terminate() {
        process.destroy();
        recorder.add("machine " + name + " gets SIGTERM");
    }

    /** Ends the process as a loss of the machine does. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        recorder.add("machine " + name + " is lost (SIGKILL)");
    }

    synchronized boolean isClosed() {
        return closed;
    }

    /** Ends the process; the machine cannot be started again. */
    synchronized void close() {
        closed = true;
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(name + ".log"));
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }
}

/** The bounds in which the sheets of Belfry differ. */
record Bounds(int stabilityWindowMs, int ackMs, int catchUpS, int drainMs, int configApplyMs, int skewBoundMs,
    int retrySlack, int recoverS, int transitMs) {
    static final Bounds BELFRY = new Bounds(3_000, 4_000, 4, 2_000, 2_000, 5_000, 135, 12, 120);
    static final Bounds BELFRY_GROWN = new Bounds(4_000, 6_000, 6, 3_000, 3_000, 6_000, 284, 15, 200);
}

/** Thrown when a case cannot be played; it then exits with status 2. */
final class CannotRun extends RuntimeException {
    CannotRun(String message) {
        super(message);
    }
}
