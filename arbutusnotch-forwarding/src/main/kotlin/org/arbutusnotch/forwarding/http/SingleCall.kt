/*
 * A call whose whole answer is wanted at once.
 */
package org.arbutusnotch.forwarding.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Sends a request and collects its answer.
 *
 * @param connectTime time to connect
 * @param answerTime time until the answer must be complete
 * @param maximumBytes size above which the answer is given up
 * @param maySend decides immediately before the request is sent whether it still may be
 */
internal class SingleCall(
    private val request: HttpRequestMessage,
    private val connectTime: Duration,
    private val answerTime: Duration,
    maximumBytes: Int = DEFAULT_MAXIMUM_BYTES,
    private val maySend: () -> Boolean = { true },
    private val onResult: (Result<HttpResponseMessage, CallEnd>) -> Unit,
) : ServerCallListener {
    private val call = ServerCall(request, connectTime, this)
    private val body = CollectedBody(maximumBytes)
    private var head: ResponseHead? = null
    private var done = false

    fun start(address: InetSocketAddress, group: EventLoopGroup) {
        group.schedule({ giveUp("no answer in time") }, answerTime.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        call.start(address, group)
    }

    fun cancel() {
        done = true
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
        onResult(result)
    }

    override fun maySend(): Boolean = maySend.invoke()

    override fun onHead(head: ResponseHead) {
        this.head = head
    }

    override fun onPart(content: ByteBuf) {
        body.add(content)
        if (body.isTooLarge) giveUp(body.fault())
    }

    override fun onEnd(end: CallEnd) {
        val received = head
        if (end is CallEnd.Complete && received != null) {
            finish(Ok(HttpResponseMessage(received, body.bytes())))
        } else {
            finish(Err(end))
        }
    }

    private companion object {
        const val DEFAULT_MAXIMUM_BYTES = 4 * 1_024 * 1_024
    }
}
