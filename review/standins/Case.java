import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs a case in the folder that the first argument names. The process exits with 1 if the rule was broken, 0 if it
 * held, and 2 if the case could not run.
 */
final class Case {
    private Case() {
    }

    interface Body {
        /** Returns whether the rule was broken; {@code temporary} is deleted at the end. */
        boolean isBroken(Recorder record, Path temporary, boolean trouble) throws Exception;
    }

    static void main(String[] arguments, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Recorder record = new Recorder(Path.of(arguments[0], "record.txt"))) {
            Path temporary = Files.createTempDirectory("review");
            try {
                record.write("the disruption is %s", trouble ? "played" : "left out");
                code = body.isBroken(record, temporary, trouble) ? 1 : 0;
            } catch (Exception failure) {
                record.write("the case could not run: %s", failure);
                failure.printStackTrace();
            } finally {
                delete(temporary);
            }
            record.write("exit code %d", code);
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> found = Files.walk(folder)) {
            List<Path> deepestFirst = found.sorted(Comparator.reverseOrder()).toList();
            for (Path path : deepestFirst) Files.delete(path);
        }
    }
}
