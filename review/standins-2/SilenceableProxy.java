import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Proxy before the store. Its open connections can go silent for good, without a reset, while new ones work. */
final class SilenceableProxy {
    private final ServerSocket listener = new ServerSocket();
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final String target;
    final String address;

    private static final class Link {
        final Socket client;
        volatile boolean silent;
        Socket server;

        Link(Socket client) {
            this.client = client;
        }
    }

    SilenceableProxy(String target) throws IOException {
        this.target = target;
        listener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        address = "127.0.0.1:" + listener.getLocalPort();
        Threads.start(this::accept);
    }

    /** Silences all open connections and returns their number. */
    int silence() {
        int count = 0;
        for (Link link : links) {
            if (!link.silent) count += 1;
            link.silent = true;
        }
        return count;
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                Link link = new Link(client);
                links.add(link);
                Threads.start(() -> serve(link));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Link link) {
        try {
            link.server = new Socket("127.0.0.1", Integer.parseInt(target.substring(target.lastIndexOf(':') + 1)));
            link.client.setTcpNoDelay(true);
            link.server.setTcpNoDelay(true);
            Threads.start(() -> pass(link, false));
            pass(link, true);
        } catch (IOException failure) {
            close(link);
        }
    }

    private void pass(Link link, boolean toServer) {
        try {
            InputStream input = (toServer ? link.client : link.server).getInputStream();
            OutputStream output = (toServer ? link.server : link.client).getOutputStream();
            byte[] buffer = new byte[65_536];
            while (true) {
                int count = input.read(buffer);
                // A silent connection passes on neither bytes nor its end.
                if (link.silent) return;
                if (count < 0) break;
                output.write(buffer, 0, count);
            }
            close(link);
        } catch (IOException failure) {
            if (!link.silent) close(link);
        }
    }

    private void close(Link link) {
        links.remove(link);
        try {
            link.client.close();
            if (link.server != null) link.server.close();
        } catch (IOException ignored) {
            // Both ends are gone.
        }
    }
}
