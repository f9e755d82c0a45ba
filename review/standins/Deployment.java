/** The configuration of a small deployment: one service of plain calls and one of language models. */
final class Deployment {
    static final String CALLS = "desk";
    static final String MODELS = "llm";

    private Deployment() {
    }

    /** Configuration as the operator writes it; the figures are those of belfry-ops. */
    static String configuration(int version) {
        String route = "{\"name\":\"%s\",\"host\":\"apps.example\",\"prefix\":\"/%s/\",\"kind\":\"%s\",\"timeoutMs\":%d,"
            + "\"targetLatencyMs\":%d,\"priority\":%d,\"service\":\"%s\",\"maxAttempts\":%d%s}";
        String stream = ",\"sticky\":true,\"resumable\":false,\"gapTargetMs\":300";
        return "{\"version\":" + version + ",\"routes\":["
            + route.formatted("r-booking", "booking", "unsafe", 2_000, 386, 2, CALLS, 1, "") + ","
            + route.formatted("r-lookup", "lookup", "safe", 2_000, 386, 2, CALLS, 2, "") + ","
            + route.formatted("r-brief", "brief", "streaming", 14_000, 900, 1, MODELS, 1, stream)
            + "],\"services\":[{\"name\":\"" + CALLS + "\",\"healthPath\":\"/health\",\"maxConnections\":257,"
            + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"" + MODELS + "\",\"healthPath\":\"/health\","
            + "\"maxConnections\":420,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
            + "\"kvCapacityTokens\":38007,\"kvTokenBytes\":131072,\"linkMbps\":740000.0,\"handleTtlS\":0.5,"
            + "\"roleSwitchS\":6.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":" + MAXIMUM_BODY_BYTES + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }

    static final int MAXIMUM_BODY_BYTES = 4_194_304;

    /** Headers of a request to a model. */
    static String modelHeaders(int promptTokens, int outputTokens) {
        return "X-Model: m\r\nX-Token-Usage: " + promptTokens + "," + outputTokens + "\r\nX-Prefix-Hash: "
            + Client.newId() + ":" + promptTokens + "\r\n";
    }
}
