/*
 * One emulated engine: a prefill and a decode scheduler that share an event loop, memory, faults and counters.
 */
package org.arbutusnotch.testing.engine

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import org.arbutusnotch.testing.expected.ExpectedOutput
import org.arbutusnotch.testing.http.errorResponse
import org.arbutusnotch.testing.http.wireJson
import java.util.concurrent.CompletableFuture

/** Implements the engine protocol. Its methods may be called from any thread and return futures. */
internal class Engine(private val settings: EngineSettings, private val importer: KvImporter) : AutoCloseable {
    private val eventLoop = EngineEventLoop()
    private val faults = EngineFaults()
    private val counters = EngineCounters()
    private val cacheEventLog = CacheEventLog(
        delayNanos = settings.eventLag.inWholeNanoseconds,
        lostEventShare = settings.lostEventShare,
        seed = settings.seed,
    )
    private val loadHistory = LoadHistory(settings.loadLag.inWholeNanoseconds)
    private val cache = PrefixCache(settings.cacheBlocks, cacheEventLog)
    private val prefillScheduler = PrefillScheduler(settings, faults, counters, cache, eventLoop, ::freeBlocks)
    private val decodeScheduler = DecodeScheduler(settings, faults, counters, eventLoop, ::freeBlocks, ::importKvCache)
    private val loadedModels = mutableSetOf<String>()
    private var role = settings.role
    private var lastArrivalNumber = 0L
    private var highestFencingNumber = 0L

    fun prefill(call: PrefillCall): CompletableFuture<HttpResponse> {
        val digest = ExpectedOutput.promptDigest(call.prompt)
        val prefixes = ExpectedOutput.prefixDigests(call.prompt)
        return respond { reply ->
            val refusal = refusalFor(EngineRole.PREFILL)
            if (refusal != null) {
                reply.complete(refusal)
            } else {
                prefillScheduler.submit(PrefillJob(call, ++lastArrivalNumber, digest, prefixes, reply))
            }
        }
    }

    fun decode(call: DecodeCall): CompletableFuture<HttpResponse> = respond { reply ->
        val refusal = refusalFor(EngineRole.DECODE)
        if (refusal != null) {
            reply.complete(refusal)
        } else {
            decodeScheduler.submit(DecodeJob(call, ++lastArrivalNumber, reply))
        }
    }

    /**
     * Exports the KV cache behind [handle]. When [receiverGone] completes before the transfer, the transfer is aborted
     * and the result stays available until it expires.
     */
    fun export(handle: String, receiverGone: CompletableFuture<*>): CompletableFuture<HttpResponse> = respond { reply ->
        val transfer = prefillScheduler.export(handle, reply, eventLoop.nowNanos())
        if (transfer != null) {
            receiverGone.whenComplete { _, _ -> runOnEventLoop { prefillScheduler.abort(transfer) } }
        }
    }

    fun cancel(attempt: String): CompletableFuture<CancelReply> = query {
        val prefillReleased = prefillScheduler.cancel(attempt)
        val decodeReleased = decodeScheduler.cancel(attempt)
        CancelReply(prefillReleased || decodeReleased)
    }

    /** Cancels [attempt], whose caller disconnected before the response was complete, if the settings say so. */
    fun onCallerDisconnected(attempt: String) {
        if (settings.releaseOnDisconnect) cancel(attempt)
    }

    fun heldReport(): CompletableFuture<HeldReport> = query {
        HeldReport(prefillScheduler.heldRecords() + decodeScheduler.heldRecords())
    }

    fun loadReport(): CompletableFuture<LoadReport> = query {
        val now = eventLoop.nowNanos()
        val report = loadHistory.report(now, eventLoop.nowEpochMillis(), LoadReport(0, 0, 0, settings.slots))
        faults.wrongLoad(now)?.let { wrong ->
            report.copy(
                active = wrong.active,
                waiting = wrong.waiting,
                queuedPrefillTokens = wrong.queuedPrefillTokens,
            )
        } ?: report
    }

    fun cacheEvents(after: Long): CompletableFuture<CacheEvents> = query {
        cacheEventLog.eventsAfter(after, eventLoop.nowNanos())
    }

    fun statistics(): CompletableFuture<EngineStatistics> = query { counters.statistics(settings, role, usedBlocks()) }

    fun applyFault(fault: EngineFault): CompletableFuture<Unit> = query { faults.apply(fault, eventLoop.nowNanos()) }

    /**
     * Applies an operator's order. Returns whether it was accepted, which is false when the engine checks fencing
     * numbers and has seen a higher one, and the reply.
     */
    fun submitOrder(call: OrderCall): CompletableFuture<Pair<Boolean, OrderReply>> = query {
        val accepted = !settings.checkFencingNumbers || call.fencing >= highestFencingNumber
        if (accepted) {
            highestFencingNumber = maxOf(highestFencingNumber, call.fencing)
            applyOrder(call)
        }
        accepted to OrderReply(highestFencingNumber)
    }

    override fun close(): Unit = eventLoop.close()

    private fun applyOrder(call: OrderCall) {
        call.model?.let { loadedModels += it }
        EngineRole.entries.firstOrNull { it.code == call.role }?.let { role = it }
    }

    private fun refusalFor(requiredRole: EngineRole): HttpResponse? {
        val status = faults.refusalStatus(eventLoop.nowNanos())
        return when {
            status != null -> errorResponse(status, "refused because of an injected fault")

            role != requiredRole && role != EngineRole.BOTH -> errorResponse(
                HttpStatus.CONFLICT,
                "the engine does not serve this call in the role ${role.code}",
            )

            else -> null
        }
    }

    private fun importKvCache(job: DecodeJob) {
        val response = importer.fetch(job.call.sourceServer, job.call.handle)
        job.importResponse = response
        response.aggregate().whenComplete { answer: AggregatedHttpResponse?, _ ->
            val kv = answer?.takeIf { it.status() == HttpStatus.OK }
                ?.let { wireJson.decodeFromString<KvDescription>(it.contentUtf8()) }
            runOnEventLoop { decodeScheduler.onKvImported(job, kv, eventLoop.nowNanos()) }
        }
    }

    private fun freeBlocks(): Int = settings.memoryBlocks - usedBlocks()

    private fun usedBlocks(): Int = prefillScheduler.usedBlocks + decodeScheduler.usedBlocks

    private fun respond(task: (CompletableFuture<HttpResponse>) -> Unit): CompletableFuture<HttpResponse> {
        val reply = CompletableFuture<HttpResponse>()
        runOnEventLoop { task(reply) }
        return reply
    }

    private fun <T> query(task: () -> T): CompletableFuture<T> {
        val reply = CompletableFuture<T>()
        runOnEventLoop { reply.complete(task()) }
        return reply
    }

    private fun runOnEventLoop(task: () -> Unit) = eventLoop.execute {
        advance()
        task()
        advance()
    }

    private fun advance() {
        val now = eventLoop.nowNanos()
        prefillScheduler.advance(now)
        decodeScheduler.advance(now)
        loadHistory.record(currentLoad(), now)
        val next = listOfNotNull(
            prefillScheduler.nextEventNanos(),
            decodeScheduler.nextEventNanos(),
            faults.slowdownEndNanos(now),
        ).minOrNull()
        eventLoop.scheduleWakeUp(next, ::advance)
    }

    private fun currentLoad(): LoadReport = LoadReport(
        asOfEpochMillis = 0,
        active = prefillScheduler.activeCount + decodeScheduler.activeCount,
        waiting = prefillScheduler.queuedCount + decodeScheduler.queuedCount,
        capacity = settings.slots,
        queuedPrefillTokens = prefillScheduler.queuedTokens,
    )
}
