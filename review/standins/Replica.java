import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * A sound replica as PROTOCOL.md describes it. It renews its entry in the store, answers 421 to requests for another
 * instance, reads prompts for X-Stage, and runs everything else.
 */
final class Replica {
    /** What a run does: it works for a time, then answers with a body, or with events at a distance. */
    record Work(long workMs, int bodyBytes, int events, long eventMs) {
        static Work call(long workMs, int bodyBytes) {
            return new Work(workMs, bodyBytes, 0, 0);
        }

        static Work stream(long firstMs, int events, long eventMs) {
            return new Work(firstMs, 0, events, eventMs);
        }
    }

    static final long HEARTBEAT_MS = 1_200;

    private final Store store;
    private final Recorder record;
    private final String service;
    private final String stage;
    private final int slots;
    private final Function<Http.Message, Work> workOf;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private volatile boolean registered = true;
    private String state = "ready";
    private long sequence = 1;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    final String id;

    /** Time at which a request arrived, by its id. */
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();

    /** Number of runs by the ids of their requests. */
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    Replica(Store store, Recorder record, String id, String service, String stage, int slots,
            Function<Http.Message, Work> workOf) throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.slots = slots;
        this.workOf = workOf;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Threads.start(this::accept);
        Threads.start(() -> {
            while (registered) {
                beat();
                Threads.sleep(HEARTBEAT_MS);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private synchronized void beat() {
        if (!registered) return;
        sequence += 1;
        String models = "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        String entry = stage == null
            ? Json.object("service", service, "address", address(), "zone", "zone-a", "version", "v1", "slots", slots,
                "state", state, "coldRemainingMs", 0, "sequence", sequence, "born", born)
            : Json.object("service", service, "address", address(), "zone", "zone-a", "version", "v1", "slots", slots,
                "state", state, "coldRemainingMs", 0, "stage", stage, "models", models, "sequence", sequence,
                "born", born);
        store.put("servers/" + id, entry);
    }

    /** Reports that the replica is draining; it continues to serve. */
    synchronized void drain() {
        state = "draining";
        beat();
    }

    /** Removes the entry; the replica continues to serve. */
    synchronized void unregister() {
        registered = false;
        store.remove("servers/" + id);
    }

    /** Exits: nothing listens any more, and what is running is cut off. */
    void exit() throws IOException {
        record.write("replica %s exits", id);
        listener.close();
        for (Socket connection : connections) connection.close();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            connections.add(socket);
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(input, null); request != null; request = Http.read(input, null)) {
                answer(request, socket.getOutputStream());
            }
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Http.Message request, OutputStream output) throws IOException {
        String requestId = request.header("X-Request-Id");
        String target = request.header("X-Target-Instance");
        String common = "X-Instance-Load: 1,0," + slots + ",100\r\nX-Instance-Id: " + id + "\r\n"
            + (requestId == null ? "" : "X-Request-Id: " + requestId + "\r\n");
        if (target != null && !target.equals(id)) {
            write(output, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + common, new byte[0]);
        } else if (request.target().equals("/health") || request.method().equals("DELETE")) {
            write(output, "HTTP/1.1 200 OK\r\n" + common, new byte[0]);
        } else if ("prefill".equals(request.header("X-Stage"))) {
            String handle = Json.object("kvHandle", "h" + requestId, "tokens", 1_000, "version", 1);
            Threads.sleep(30);
            write(output, "HTTP/1.1 200 OK\r\n" + common, handle.getBytes(StandardCharsets.UTF_8));
        } else {
            run(request, requestId, common, output);
        }
    }

    private void run(Http.Message request, String requestId, String common, OutputStream output) throws IOException {
        arrivals.put(requestId, record.millis());
        runs.merge(requestId, 1, Integer::sum);
        record.write("replica %s runs %s %s (%d bytes)", id, requestId, request.first(), request.body().length);
        Work work = workOf.apply(request);
        Threads.sleep(work.workMs());
        String head = "HTTP/1.1 200 OK\r\n" + common + "X-Response-Seal: seal-" + id + "-" + requestId + "\r\n";
        if (work.events() == 0) {
            byte[] body = new byte[work.bodyBytes()];
            java.util.Arrays.fill(body, (byte) 'a');
            write(output, head, body);
        } else {
            output.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= work.events(); event++) {
                String text = "id: " + event + "\ndata: token " + event + " of " + requestId + "\n\n";
                output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                Threads.sleep(work.eventMs());
            }
            output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        record.write("replica %s completed %s", id, requestId);
    }

    private static void write(OutputStream output, String head, byte[] body) throws IOException {
        output.write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
    }
}
