/*
 * One emulated engine: its prefill half, its decode half and their common clock, memory, faults and counters.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.problem
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture

/** Runs the engine protocol; public methods may be called from any thread and answer by futures. */
internal class Engine(private val settings: EngineSettings, private val importer: KvImporter) : AutoCloseable {
    private val clock = EngineClock()
    private val faults = EngineFaults()
    private val counters = EngineCounters()
    private val journal = CacheJournal(
        lagNanos = settings.eventLag.inWholeNanoseconds,
        lostShare = settings.lostEventShare,
        seed = settings.seed,
    )
    private val load = LoadHistory(settings.loadLag.inWholeNanoseconds)
    private val cache = PrefixCache(settings.cacheBlocks, journal)
    private val prefills = Prefills(settings, faults, counters, cache, clock, ::freeBlocks)
    private val decodes = Decodes(settings, faults, counters, clock, ::freeBlocks, ::import)
    private val models = mutableSetOf<String>()
    private var role = settings.role
    private var arrivals = 0L
    private var fencing = 0L

    fun prefill(call: PrefillCall): CompletableFuture<HttpResponse> {
        val digest = ExpectedOutput.promptDigest(call.prompt)
        val prefixes = ExpectedOutput.prefixDigests(call.prompt)
        return answer { reply ->
            val refusal = refusal(EngineRole.PREFILL)
            if (refusal != null) {
                reply.complete(refusal)
            } else {
                prefills.submit(PrefillJob(call, ++arrivals, digest, prefixes, reply))
            }
        }
    }

    fun decode(call: DecodeCall): CompletableFuture<HttpResponse> = answer { reply ->
        val refusal = refusal(EngineRole.DECODE)
        if (refusal != null) reply.complete(refusal) else decodes.submit(DecodeJob(call, ++arrivals, reply))
    }

    /** Exports a handle; when [receiverGone] completes first, the transfer ends and the result expires as usual. */
    fun export(handle: String, receiverGone: CompletableFuture<*>): CompletableFuture<HttpResponse> = answer { reply ->
        val transfer = prefills.export(handle, reply, clock.nanos())
        if (transfer != null) receiverGone.whenComplete { _, _ -> onThread { prefills.abort(transfer) } }
    }

    fun cancel(attempt: String): CompletableFuture<CancelReply> = ask {
        val prefillReleased = prefills.cancel(attempt)
        val decodeReleased = decodes.cancel(attempt)
        CancelReply(prefillReleased || decodeReleased)
    }

    /** Handles a caller that disconnected before the answer to [attempt] was whole. */
    fun disconnected(attempt: String) {
        if (settings.releaseOnDisconnect) cancel(attempt)
    }

    fun held(): CompletableFuture<HeldReport> = ask { HeldReport(prefills.held() + decodes.held()) }

    fun load(): CompletableFuture<LoadReport> = ask {
        val now = clock.nanos()
        val report = load.report(now, clock.epochMillis(), LoadReport(0, 0, 0, settings.slots))
        faults.wrongLoad(now)?.let { wrong ->
            report.copy(
                active = wrong.active,
                waiting = wrong.waiting,
                queuedPrefillTokens = wrong.queuedPrefillTokens,
            )
        } ?: report
    }

    fun cacheEvents(after: Long): CompletableFuture<CacheEvents> = ask { journal.after(after, clock.nanos()) }

    fun statistics(): CompletableFuture<EngineStatistics> = ask { counters.report(settings, role, usedBlocks()) }

    fun fault(fault: EngineFault): CompletableFuture<Unit> = ask { faults.apply(fault, clock.nanos()) }

    /** Obeys an order; returns false when the engine checks fencing numbers and has seen a higher one. */
    fun order(call: OrderCall): CompletableFuture<Pair<Boolean, OrderReply>> = ask {
        val accepted = !settings.fencing || call.fencing >= fencing
        if (accepted) {
            fencing = maxOf(fencing, call.fencing)
            obey(call)
        }
        accepted to OrderReply(fencing)
    }

    override fun close(): Unit = clock.close()

    private fun obey(call: OrderCall) {
        call.model?.let { models += it }
        EngineRole.entries.firstOrNull { it.code == call.role }?.let { role = it }
    }

    private fun refusal(needed: EngineRole): HttpResponse? {
        val status = faults.refusal(clock.nanos())
        return when {
            status != null -> problem(status, "refused on command")

            role != needed && role != EngineRole.BOTH -> problem(
                HttpStatus.CONFLICT,
                "the engine's role is ${role.code}",
            )

            else -> null
        }
    }

    private fun import(job: DecodeJob) {
        val response = importer.fetch(job.call.sourceServer, job.call.handle)
        job.import = response
        response.aggregate().whenComplete { answer: AggregatedHttpResponse?, _ ->
            val kv = answer?.takeIf { it.status() == HttpStatus.OK }
                ?.let { wireJson.decodeFromString<KvDescription>(it.contentUtf8()) }
            onThread { decodes.imported(job, kv, clock.nanos()) }
        }
    }

    private fun freeBlocks(): Int = settings.memoryBlocks - usedBlocks()

    private fun usedBlocks(): Int = prefills.blocks + decodes.blocks

    private fun answer(task: (CompletableFuture<HttpResponse>) -> Unit): CompletableFuture<HttpResponse> {
        val reply = CompletableFuture<HttpResponse>()
        onThread { task(reply) }
        return reply
    }

    private fun <T> ask(task: () -> T): CompletableFuture<T> {
        val reply = CompletableFuture<T>()
        onThread { reply.complete(task()) }
        return reply
    }

    private fun onThread(task: () -> Unit) = clock.run {
        advance()
        task()
        advance()
    }

    private fun advance() {
        val now = clock.nanos()
        prefills.advance(now)
        decodes.advance(now)
        load.record(currentLoad(), now)
        val next = listOfNotNull(
            prefills.nextEventNanos(),
            decodes.nextEventNanos(),
            faults.slownessChangesAt(now),
        ).minOrNull()
        clock.wakeAt(next, ::advance)
    }

    private fun currentLoad(): LoadReport = LoadReport(
        asOfEpochMillis = 0,
        active = prefills.active + decodes.active,
        waiting = prefills.queued + decodes.queued,
        capacity = settings.slots,
        queuedPrefillTokens = prefills.queuedTokens,
    )
}
