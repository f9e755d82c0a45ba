import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** The platform's store as PROTOCOL.md describes it: it can only be read, by listings and watches. */
final class Store implements AutoCloseable {
    private record Event(String key, long revision, long created, String value) {
        String json() {
            if (value == null) return Json.object("key", key, "revision", revision, "removed", true);
            String text = java.util.Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
            return Json.object("key", key, "value", "" + text, "revision", revision, "created", created, "lease", 0);
        }
    }

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private final ServerSocket listener;
    private final List<Event> history = new ArrayList<>();
    private final TreeMap<String, Event> items = new TreeMap<>();
    private long revision = 1;
    private long cuts = 0;
    private volatile double lostShare = 0;

    Store() throws IOException {
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Threads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void put(String key, String json) {
        revision += 1;
        Event known = items.get(key);
        Event event = new Event(key, revision, known == null ? revision : known.created(), json);
        items.put(key, event);
        history.add(event);
        notifyAll();
    }

    synchronized void remove(String key) {
        revision += 1;
        items.remove(key);
        history.add(new Event(key, revision, 0, null));
        notifyAll();
    }

    /** Loses the given share of the answers from now on; the connection of a lost answer returns nothing further. */
    void loseAnswers(double share) {
        lostShare = share;
    }

    /** Ends the connections of the watches that are waiting, without an answer. */
    synchronized void cutWatches() {
        cuts += 1;
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(input, null); call != null; call = Http.read(input, null)) {
                String body = call.target().startsWith("/kv-watch") ? watch(call) : range(call);
                if (body == null) return;
                if (ThreadLocalRandom.current().nextDouble() < lostShare) {
                    while (input.read() >= 0) continue;
                    return;
                }
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private synchronized String range(Http.Message call) {
        String prefix = call.query("prefix");
        String after = call.query("after");
        List<String> found = new ArrayList<>();
        int bytes = 0;
        for (Event item : items.tailMap(after == null ? prefix : after, after == null).values()) {
            if (!item.key().startsWith(prefix)) break;
            if (!found.isEmpty() && (found.size() >= PAGE_ITEMS || bytes + item.value().length() > PAGE_BYTES)) {
                return Json.object("items", Json.array(found), "morePages", true, "storeRevision", revision);
            }
            found.add(item.json());
            bytes += item.value().length();
        }
        return Json.object("items", Json.array(found), "morePages", false, "storeRevision", revision);
    }

    private synchronized String watch(Http.Message call) throws InterruptedException {
        String prefix = call.query("prefix");
        long after = Long.parseLong(call.query("after"));
        long endsAt = System.currentTimeMillis() + Long.parseLong(call.query("waitMs"));
        long cutsBefore = cuts;
        while (true) {
            List<String> found = new ArrayList<>();
            history.stream().filter(it -> it.revision() > after && it.key().startsWith(prefix))
                .forEach(it -> found.add(it.json()));
            long left = endsAt - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                return Json.object("events", Json.array(found), "storeRevision", revision);
            }
            wait(left);
            if (cuts != cutsBefore) return null;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
