import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it. Each machine gets an address of its own, so that the
 * store can reject one machine while it serves the others.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int VALUE_BYTES = 1_048_576;
    private static final long HISTORY_MILLIS = 20_000;

    private record Change(String key, long revision, long created, byte[] value, long writtenAt) {
        String json() {
            if (value == null) return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}";
            return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":0}";
        }
    }

    private final Recorder recorder;
    private final ExecutorService executor = Executors.newCachedThreadPool(Threads.daemon());
    private final List<HttpServer> listeners = new ArrayList<>();
    private final TreeMap<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;
    private long droppedUpTo = 0;

    /** Largest response to a watch so far, in bytes. */
    volatile long largestWatchBytes = 0;

    Store(Recorder recorder) {
        this.recorder = recorder;
    }

    /** Opens a further address; while the returned switch is on, calls to it get status 503. */
    Listener listen() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        Listener listener = new Listener("127.0.0.1:" + server.getAddress().getPort());
        server.setExecutor(executor);
        server.createContext("/", exchange -> handle(exchange, listener));
        server.start();
        listeners.add(server);
        return listener;
    }

    static final class Listener {
        final String address;
        volatile boolean rejects;

        Listener(String address) {
            this.address = address;
        }
    }

    /** Writes an item; returns the time of the acknowledgement. */
    synchronized long put(String key, byte[] value) {
        if (value.length > VALUE_BYTES) throw new IllegalArgumentException("value of " + value.length + " bytes");
        if (key.length() > 200) throw new IllegalArgumentException("key of " + key.length() + " bytes");
        revision += 1;
        Change known = items.get(key);
        Change change = new Change(key, revision, known == null ? revision : known.created(), value, Clock.millis());
        items.put(key, change);
        history.add(change);
        notifyAll();
        return Clock.millis();
    }

    long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long remove(String key) {
        revision += 1;
        items.remove(key);
        history.add(new Change(key, revision, 0, null, Clock.millis()));
        notifyAll();
        return Clock.millis();
    }

    void close() {
        listeners.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange, Listener listener) throws IOException {
        try {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            if (listener.rejects) {
                respond(exchange, 503, "{}");
            } else if (path.equals("/kv-range")) {
                respond(exchange, 200, range(query.get("prefix"), query.get("after")));
            } else if (path.equals("/kv-watch")) {
                watch(exchange, query, listener);
            } else {
                respond(exchange, 404, "{}");
            }
        } catch (IOException | InterruptedException failure) {
            exchange.close();
        }
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder list = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Change item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (!item.key().startsWith(prefix)) break;
            String json = item.json();
            if (count > 0 && (count >= PAGE_ITEMS || list.length() + json.length() > PAGE_BYTES)) {
                more = true;
                break;
            }
            list.append(count > 0 ? "," : "").append(json);
            count += 1;
        }
        return "{\"items\":[" + list + "],\"morePages\":" + more + ",\"storeRevision\":" + revision + "}";
    }

    private void watch(HttpExchange exchange, Map<String, String> query, Listener listener)
        throws IOException, InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = Clock.millis() + Math.min(30_000, Long.parseLong(query.get("waitMs")));
        String body = null;
        synchronized (this) {
            while (body == null) {
                dropHistory();
                if (after < droppedUpTo) break;
                List<Change> found = history.stream()
                    .filter(change -> change.revision() > after && change.key().startsWith(prefix)).toList();
                long left = end - Clock.millis();
                if (found.isEmpty() && left > 0 && !listener.rejects) {
                    wait(Math.min(left, 200));
                } else {
                    StringBuilder list = new StringBuilder();
                    found.forEach(change -> list.append(list.length() > 0 ? "," : "").append(change.json()));
                    body = "{\"events\":[" + list + "],\"storeRevision\":" + revision + "}";
                }
            }
        }
        if (body == null) {
            respond(exchange, 410, "{}");
        } else if (listener.rejects) {
            respond(exchange, 503, "{}");
        } else {
            largestWatchBytes = Math.max(largestWatchBytes, body.length());
            if (body.length() > 1_000_000) recorder.add("store: watch " + prefix + " after " + after + " gets " + body.length() + " bytes");
            respond(exchange, 200, body);
        }
    }

    private void dropHistory() {
        long now = Clock.millis();
        while (!history.isEmpty() && history.get(0).writtenAt() < now - HISTORY_MILLIS) {
            droppedUpTo = history.remove(0).revision();
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> fields = new HashMap<>();
        if (text == null) return fields;
        for (String field : text.split("&")) {
            int split = field.indexOf('=');
            if (split > 0) {
                fields.put(field.substring(0, split), URLDecoder.decode(field.substring(split + 1), StandardCharsets.UTF_8));
            }
        }
        return fields;
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }
}
