/** Writes the few JSON texts that the stand-ins need. */
final class Json {
    private Json() {
    }

    /** Returns an object with the keys and values that follow each other in {@code pairs}. */
    static String object(Object... pairs) {
        StringBuilder text = new StringBuilder("{");
        for (int index = 0; index < pairs.length; index += 2) {
            if (index > 0) text.append(',');
            text.append('"').append(pairs[index]).append("\":").append(value(pairs[index + 1]));
        }
        return text.append('}').toString();
    }

    static String array(Iterable<String> elements) {
        return "[" + String.join(",", elements) + "]";
    }

    /** Strings that begin with a brace or bracket are JSON already. */
    private static String value(Object value) {
        if (!(value instanceof String text)) return String.valueOf(value);
        return text.startsWith("{") || text.startsWith("[") ? text : '"' + text + '"';
    }
}
