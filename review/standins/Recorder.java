import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the time since the start in milliseconds. */
final class Recorder implements AutoCloseable {
    private final long startedAt = System.nanoTime();
    private final PrintWriter writer;

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void write(String format, Object... values) {
        writer.println(millis() + " " + String.format(format, values));
        writer.flush();
    }

    @Override
    public void close() {
        writer.close();
    }
}
