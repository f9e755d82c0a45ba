/*
 * What an engine counts for oracles and reports.
 */
package org.arbutusnotch.testing.engine

private const val MAX_ACCEPTED = 20_000

/** Counts the work of an engine; used on the engine's thread only. */
internal class EngineCounters {
    private class Runs(var prefills: Int = 0, var decodes: Int = 0)

    private val runs = mutableMapOf<String, Runs>()
    private val accepted = ArrayDeque<AcceptedWork>()
    private var computedTokens = 0L
    private var cachedTokens = 0L
    private var wastedTokens = 0L
    private var results = 0L
    private var resultsUsed = 0L
    private var resultsWasted = 0L

    var tokensGenerated: Long = 0
    var streamsCompleted: Long = 0
    var refusals: Long = 0
    var foreignTokensSent: Long = 0

    fun accepted(attempt: String, kind: String, epochMillis: Long) {
        accepted.addLast(AcceptedWork(attempt, kind, epochMillis))
        if (accepted.size > MAX_ACCEPTED) accepted.removeFirst()
    }

    fun prefillStarted(digest: String) {
        runs.getOrPut(digest, ::Runs).prefills++
    }

    fun decodeStarted(digest: String) {
        runs.getOrPut(digest, ::Runs).decodes++
    }

    fun prefillFinished(job: PrefillJob) {
        computedTokens += job.computedTokens
        cachedTokens += job.cachedTokens
        results++
    }

    /** Counts a running prefill that was stopped after [tokens] computed tokens. */
    fun prefillStopped(tokens: Long) {
        computedTokens += tokens
        wastedTokens += tokens
    }

    fun resultUsed() {
        resultsUsed++
    }

    fun resultWasted(job: PrefillJob) {
        resultsWasted++
        wastedTokens += job.computedTokens
    }

    fun report(settings: EngineSettings, role: EngineRole, blocksHeld: Int): EngineStatistics = EngineStatistics(
        server = settings.address,
        role = role.code,
        runs = runs.map { (digest, count) -> PromptRuns(digest, count.prefills, count.decodes) },
        prefillTokensComputed = computedTokens,
        prefillTokensCached = cachedTokens,
        prefillTokensWasted = wastedTokens,
        prefillResults = results,
        prefillResultsUsed = resultsUsed,
        prefillResultsWasted = resultsWasted,
        tokensGenerated = tokensGenerated,
        streamsCompleted = streamsCompleted,
        refusals = refusals,
        foreignTokensSent = foreignTokensSent,
        blocksHeld = blocksHeld,
        accepted = accepted.toList(),
    )
}
