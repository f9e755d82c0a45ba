import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from sockets. */
final class Http {
    private Http() {
    }

    /** A message; {@code first} is its first line, header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        /** The value of {@code name} in the query of the target; null when it is missing. */
        String query(String name) {
            int mark = target().indexOf('?');
            if (mark < 0) return null;
            for (String part : target().substring(mark + 1).split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }
    }

    /** Reads a whole message; returns null when the connection ends before its first byte. */
    static Message read(InputStream input, ByteArrayOutputStream received) throws IOException {
        String first = line(input, received);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        for (String text = line(input, received); !text.isEmpty(); text = line(input, received)) {
            int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = received == null ? new ByteArrayOutputStream() : received;
        if (received != null) received.reset();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            readChunks(input, body);
        } else {
            copy(input, body, Long.parseLong(headers.getOrDefault("content-length", "0")));
        }
        return new Message(first, headers, body.toByteArray());
    }

    private static void readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(input, null);
            if (size == null) throw new EOFException("inside the chunks");
            int length = Integer.parseInt(size.trim(), 16);
            copy(input, body, length);
            line(input, null);
            if (length == 0) return;
        }
    }

    private static void copy(InputStream input, ByteArrayOutputStream body, long length) throws IOException {
        byte[] part = new byte[65_536];
        long left = length;
        while (left > 0) {
            int count = input.read(part, 0, (int) Math.min(part.length, left));
            if (count < 0) throw new EOFException("inside the body, " + left + " bytes missing");
            body.write(part, 0, count);
            left -= count;
        }
    }

    private static String line(InputStream input, ByteArrayOutputStream received) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (text.size() == 0) return null;
                throw new EOFException("inside a line");
            }
            if (received != null) received.write(next);
            if (next != '\r') text.write(next);
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }
}
