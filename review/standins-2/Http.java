import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages on sockets, for clients and servers. */
final class Http {
    private Http() {
    }

    static final class Message {
        String firstLine;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        int status;

        String header(String name) {
            for (String[] field : headers) if (field[0].equalsIgnoreCase(name)) return field[1];
            return null;
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }
    }

    /** Sends one request on a new connection and returns the complete answer. */
    static Message call(String address, String method, String target, List<String> headers, byte[] body, int timeout)
        throws IOException {
        try (Socket socket = new Socket()) {
            int colon = address.lastIndexOf(':');
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                Math.min(timeout, 1_000));
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeout);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            if (headers.stream().noneMatch(field -> field.toLowerCase().startsWith("host:"))) head.append("Host: x\r\n");
            headers.forEach(field -> head.append(field).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            OutputStream output = socket.getOutputStream();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            output.write(bytes.toByteArray());
            output.flush();
            return readAnswer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static Message readAnswer(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message == null) throw new EOFException("connection closed without an answer");
        message.status = Integer.parseInt(message.firstLine.split(" ")[1]);
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(input);
        } else if (length != null) {
            message.body = readExactly(input, Integer.parseInt(length));
        } else if (message.status != 204 && message.status != 304) {
            message.body = input.readAllBytes();
        }
        return message;
    }

    /** Reads a request; returns null at the end of the connection. */
    static Message readRequest(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message == null) return null;
        String length = message.header("Content-Length");
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(input);
        } else if (length != null) {
            message.body = readExactly(input, Integer.parseInt(length));
        }
        return message;
    }

    private static Message readHead(InputStream input) throws IOException {
        String line = readLine(input);
        while (line != null && line.isEmpty()) line = readLine(input);
        if (line == null) return null;
        Message message = new Message();
        message.firstLine = line;
        while (true) {
            line = readLine(input);
            if (line == null) throw new EOFException("connection closed inside a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            if (colon > 0) message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    private static byte[] readExactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) throw new EOFException("connection closed inside a body");
        return bytes;
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(input);
            if (size == null) throw new EOFException("connection closed before the last chunk");
            int length = Integer.parseInt(size.trim(), 16);
            body.write(readExactly(input, length));
            String end = readLine(input);
            if (end == null) throw new EOFException("connection closed inside a chunk");
            if (length == 0) return body.toByteArray();
        }
    }
}
