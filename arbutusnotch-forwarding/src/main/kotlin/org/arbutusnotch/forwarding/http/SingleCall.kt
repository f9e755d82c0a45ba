/*
 * A call whose whole answer is wanted at once.
 */
package org.arbutusnotch.forwarding.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoopGroup
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Sends a request and collects its answer.
 *
 * @param connectTime time to connect
 * @param answerTime time until the answer must be complete
 * @param memory memory that all answers of the instance share
 * @param maximumBytes size above which the answer is given up
 * @param maySend decides immediately before the request is sent whether it still may be
 */
internal class SingleCall(
    private val request: HttpRequestMessage,
    private val connectTime: Duration,
    private val answerTime: Duration,
    memory: AnswerBufferBudget,
    maximumBytes: Int = DEFAULT_MAXIMUM_BYTES,
    private val maySend: () -> Boolean = { true },
    private val onResult: (Result<HttpResponseMessage, CallEnd>) -> Unit,
) : ServerCallListener {
    private val call = ServerCall(request, connectTime, this)
    private val body = CollectedBody(maximumBytes, memory) { giveUp(it) }
    private var head: ResponseHead? = null
    private var done = false

    fun start(address: InetSocketAddress, group: EventLoopGroup) {
        group.schedule({ giveUp("no answer in time") }, answerTime.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        call.start(address, group)
    }

    fun cancel() {
        done = true
        body.discard()
        call.cancel()
    }

    private fun giveUp(detail: String) {
        if (done) return
        call.cancel()
        finish(Err(CallEnd.Broken(detail)))
    }

    private fun finish(result: Result<HttpResponseMessage, CallEnd>) {
        if (done) return
        done = true
        body.discard()
        onResult(result)
    }

    override fun maySend(): Boolean = maySend.invoke()

    override fun onHead(head: ResponseHead) {
        this.head = head
    }

    override fun onPart(content: ByteBuf): Unit = body.add(content)

    override fun onEnd(end: CallEnd) {
        val received = head
        if (end is CallEnd.Complete && received != null) {
            finish(Ok(HttpResponseMessage(received, body.bytes())))
        } else {
            finish(Err(end))
        }
    }

    private companion object {
        /** Largest answer of the store, with room for values of the largest size in their encoded form. */
        const val DEFAULT_MAXIMUM_BYTES = 4 * 1_024 * 1_024
    }
}
