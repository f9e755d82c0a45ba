import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the run line of the deploy file on a loopback address of its own. */
final class Router implements AutoCloseable {
    private final Process process;
    private final Path log;
    private final String seedIp;

    /** Ports of callers, readiness, control, directory and peers. */
    private final int[] ports;
    final String ip;
    final int frontPort;
    final int readyPort;
    final int directoryPort;

    private Router(Process process, Path log, String ip, String seedIp, int[] ports) {
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        this.process = process;
        this.log = log;
        this.ip = ip;
        this.seedIp = seedIp;
        this.ports = ports;
        frontPort = ports[0];
        readyPort = ports[1];
        directoryPort = ports[3];
    }

    /** Returns a loopback address at which nothing listens on the fixed port of the metrics. */
    private static String freeAddress() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (true) {
            String ip = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(1, 250);
            try (ServerSocket ignored = new ServerSocket(9464, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException used) {
                // Another process listens there.
            }
        }
    }

    /** Returns five different ports at which nothing listens. */
    private static int[] freePorts(String ip) throws IOException {
        int[] ports = new int[5];
        ServerSocket[] sockets = new ServerSocket[ports.length];
        for (int index = 0; index < ports.length; index++) {
            sockets[index] = new ServerSocket(0, 1, InetAddress.getByName(ip));
            ports[index] = sockets[index].getLocalPort();
        }
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }

    /** Starts a process that reads the store at {@code store}; its settings and its log are kept in {@code folder}. */
    static Router start(Path folder, String name, String store) throws IOException {
        String ip = freeAddress();
        return start(folder, name, store, ip, ip, freePorts(ip));
    }

    /** Starts a process on another machine, which has {@code first} as its seed and uses the same ports. */
    static Router startBeside(Router first, Path folder, String name, String store) throws IOException {
        return start(folder, name, store, freeAddress(), first.ip, first.ports);
    }

    /** Starts the process again after its end, as the platform does. */
    Router restart(Path folder, String name, String store) throws IOException {
        return start(folder, name, store, ip, seedIp, ports);
    }

    private static Router start(Path folder, String name, String store, String ip, String seedIp, int[] ports)
            throws IOException {
        Path log = folder.resolve(name + ".log");
        int front = ports[0];
        int ready = ports[1];
        int control = ports[2];
        int directory = ports[3];
        int peer = ports[4];
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, """
            nodeName = "%1$s"
            role = "router"
            machineClass = "front"
            serves = ["front","control","directory"]
            ip = "%2$s"
            zone = "zone-a"
            region = "region-a"
            internalPorts = [%7$d,%7$d]
            seeds = ["%9$s:%5$d"]
            bootstrap = true
            inTolerance = false
            discovery = "platform"
            entry = "directory"
            heartbeatMs = 1200
            contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
            [zones]
            zone-a = "region-a"
            [listen]
            front = "%2$s:%3$d"
            ready = "%2$s:%4$d"
            control = "%2$s:%5$d"
            directory = "%2$s:%6$d"
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
            stabilityWindowMs = 3000
            ackMs = 4000
            catchUpS = 4
            drainMs = 2000
            graceS = 8
            lossSlackMs = 200
            configApplyMs = 2000
            rollbackSlackMs = 250
            skewBoundMs = 5000
            retryBudgetRatio = 0.2
            budgetWindowS = 10
            retrySlack = 135
            recoverS = 12
            transitMs = 120
            reuseWindowS = 5.9
            requireFencing = false
            leaseMs = 3000
            thawSlackMs = 300
            ttl_max_s = 5
            [platform]
            address = "%8$s"
            form = "read"
            writesPerS = 400
            readsPerS = 2000
            historyS = 20
            valueBytes = 1048576
            ttlMinMs = 1000
            """.formatted(name, ip, front, ready, control, directory, peer, store, seedIp));
        ProcessBuilder builder = new ProcessBuilder(runLine());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("ARBUTUSNOTCH_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return new Router(builder.start(), log, ip, seedIp, ports);
    }

    /** Reads the run line of the only role in the deploy file. */
    private static List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return new ArrayList<>(Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("no run line in deploy/system.toml");
    }

    /** Waits until the process says that it is ready. */
    void awaitReady(long millis) throws IOException {
        long endsAt = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < endsAt) {
            if (isReady()) return;
            Threads.sleep(50);
        }
        throw new IOException("the process is not ready after " + millis + " ms");
    }

    private boolean isReady() {
        return status(readyPort, "/ready", 500) == 200;
    }

    /** Asks the directory where to connect; returns whether it names an address, as a client does. */
    boolean namesAddresses() {
        return status(directoryPort, "/resolve?name=apps.example&region=region-a&zone=zone-a", 1_000) == 200;
    }

    private int status(int port, String target, int timeoutMs) {
        try {
            URL url = new URL("http://" + ip + ":" + port + target);
            HttpURLConnection connection = (HttpURLConnection) url.openConnection();
            connection.setConnectTimeout(timeoutMs);
            connection.setReadTimeout(timeoutMs);
            return connection.getResponseCode();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    /** Sends SIGTERM, as the platform does to stop a process. */
    void terminate() {
        process.destroy();
    }

    /** The last line that the process has written. */
    String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(log);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    /** The exit code, or null while the process runs. */
    Integer exitCode() {
        return process.isAlive() ? null : process.exitValue();
    }

    /** Waits for the end of the process; sends SIGKILL after {@code millis}, as the platform does. */
    boolean awaitEnd(long millis) {
        try {
            boolean ended = process.waitFor(millis, TimeUnit.MILLISECONDS);
            if (!ended) process.destroyForcibly().waitFor();
            return ended;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        awaitEnd(5_000);
    }
}
