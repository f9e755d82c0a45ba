/*
 * Counters of an engine, which tests and benchmark reports read.
 */
package org.arbutusnotch.testing.engine

private const val MAX_ACCEPTED_ENTRIES = 20_000

/** Counts the work of an engine; used on the engine's thread only. */
internal class EngineCounters {
    private class RunCounts(var prefills: Int = 0, var decodes: Int = 0)

    private val runsByPromptDigest = mutableMapOf<String, RunCounts>()
    private val acceptedWork = ArrayDeque<AcceptedWork>()
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

    fun recordAccepted(attempt: String, kind: String, epochMillis: Long) {
        acceptedWork.addLast(AcceptedWork(attempt, kind, epochMillis))
        if (acceptedWork.size > MAX_ACCEPTED_ENTRIES) acceptedWork.removeFirst()
    }

    fun recordPrefillStart(digest: String) {
        runsByPromptDigest.getOrPut(digest, ::RunCounts).prefills++
    }

    fun recordDecodeStart(digest: String) {
        runsByPromptDigest.getOrPut(digest, ::RunCounts).decodes++
    }

    fun recordPrefillFinish(job: PrefillJob) {
        computedTokens += job.computedTokens
        cachedTokens += job.cachedTokens
        results++
    }

    /** Counts the [tokens] that a prefill had computed when it was stopped as wasted. */
    fun recordPrefillStop(tokens: Long) {
        computedTokens += tokens
        wastedTokens += tokens
    }

    fun recordResultUsed() {
        resultsUsed++
    }

    fun recordResultWasted(job: PrefillJob) {
        resultsWasted++
        wastedTokens += job.computedTokens
    }

    fun statistics(settings: EngineSettings, role: EngineRole, blocksHeld: Int): EngineStatistics = EngineStatistics(
        server = settings.address,
        role = role.code,
        runs = runsByPromptDigest.map { (digest, counts) -> PromptRuns(digest, counts.prefills, counts.decodes) },
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
        accepted = acceptedWork.toList(),
    )
}
