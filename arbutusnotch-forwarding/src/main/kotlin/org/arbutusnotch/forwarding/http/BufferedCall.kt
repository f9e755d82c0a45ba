/*
 * A call whose response is buffered and delivered as a whole.
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
 * Sends a request and buffers its response.
 *
 * @param connectTimeout time to establish the connection
 * @param responseTimeout time from [start] until the response must be complete
 * @param memory budget that all buffered responses of the instance share
 * @param maximumBytes body size in bytes above which the call fails
 * @param maySend returns, immediately before sending, whether the request may be sent
 */
internal class BufferedCall(
    private val request: HttpRequestMessage,
    private val connectTimeout: Duration,
    private val responseTimeout: Duration,
    memory: AnswerBufferBudget,
    maximumBytes: Int = DEFAULT_MAXIMUM_BYTES,
    private val maySend: () -> Boolean = { true },
    private val onResult: (Result<HttpResponseMessage, CallEnd>) -> Unit,
) : ServerCallListener {
    private val call = ServerCall(request, connectTimeout, memory, this)
    private val body = BufferedBody(maximumBytes, memory) { abort(it, exceedsMemory = true) }
    private var head: ResponseHead? = null
    private var finished = false

    /** Whether only the end of the connection marked the end of the response. */
    var endedByClose = false
        private set

    /** Returns whether the server reset the connection after it [endedByClose], and closes it. */
    fun wasResetAfterEnd(): Boolean = call.wasResetAfterEnd()

    fun start(address: InetSocketAddress, group: EventLoopGroup) {
        group.schedule({ abort("response timed out") }, responseTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        call.start(address, group)
    }

    fun cancel() {
        finished = true
        body.discard()
        call.cancel()
    }

    private fun abort(detail: String, exceedsMemory: Boolean = false) {
        if (finished) return
        call.cancel()
        finish(Err(CallEnd.Broken(detail, exceedsMemory = exceedsMemory)))
    }

    private fun finish(result: Result<HttpResponseMessage, CallEnd>) {
        if (finished) return
        finished = true
        body.discard()
        onResult(result)
    }

    override fun maySend(): Boolean = maySend.invoke()

    override fun onHead(head: ResponseHead) {
        this.head = head
    }

    override fun onContent(content: ByteBuf): Unit = body.add(content)

    override fun onEnd(end: CallEnd) {
        val received = head
        if (end is CallEnd.Complete && received != null) {
            endedByClose = end.endedByClose
            finish(Ok(HttpResponseMessage(received, body.bytes())))
        } else {
            finish(Err(end))
        }
    }

    private companion object {
        /**
         * Largest response of the store or of an instance: a page of a listing, with room for a value of the largest
         * size in its encoded form. Changes that are larger together are listed instead.
         */
        const val DEFAULT_MAXIMUM_BYTES = 4 * 1_024 * 1_024
    }
}
