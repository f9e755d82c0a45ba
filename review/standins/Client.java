import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a sound client, which is kept for many requests. */
final class Client implements AutoCloseable {
    private static final AtomicLong COUNT = new AtomicLong(System.nanoTime());

    /** How an attempt ended; {@code status} is 0 if the connection ended without a complete answer. */
    record Answer(String id, int status, int bytes, boolean closes, String detail) {
        boolean complete() {
            return status != 0;
        }
    }

    private final Recorder record;
    private Socket socket;
    private BufferedInputStream input;

    Client(Recorder record, String ip, int port, int receiveBuffer) throws IOException {
        this.record = record;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return Long.toHexString(COUNT.incrementAndGet());
    }

    /** Sends one request and reads its answer. */
    Answer send(String method, String path, String headers, byte[] body, long deadlineMs) {
        String id = newId();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        record.write("client sends %s %s %s (%d bytes)", id, method, path, body.length);
        try {
            String head = method + " " + path + " HTTP/1.1\r\nHost: apps.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + headers
                + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            socket.setSoTimeout((int) deadlineMs);
            Http.Message answer = Http.read(input, received);
            if (answer == null) return end(new Answer(id, 0, 0, true, "closed without an answer"));
            boolean closes = "close".equalsIgnoreCase(answer.header("Connection"));
            String detail = answer.header("X-Refusal-Reason") == null ? "" : answer.header("X-Refusal-Reason");
            return end(new Answer(id, answer.status(), answer.body().length, closes, detail));
        } catch (java.net.SocketTimeoutException timeout) {
            return end(new Answer(id, -1, received.size(), true, "no complete answer before the deadline"));
        } catch (IOException broken) {
            return end(new Answer(id, 0, received.size(), true, "broken off: " + broken.getMessage()));
        }
    }

    private Answer end(Answer answer) {
        record.write("client has %s: status %d, %d bytes %s", answer.id(), answer.status(), answer.bytes(),
            answer.detail());
        return answer;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
