/*
 * One connection of a caller. Requests are processed one at a time; pipelined requests are queued.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.arbutusnotch.core.forwarding.CallerLimits
import org.arbutusnotch.core.forwarding.MemoryAccount
import org.arbutusnotch.core.forwarding.ServiceShares
import org.arbutusnotch.core.id.PoolId
import org.arbutusnotch.core.time.Timestamp
import org.arbutusnotch.telemetry.Clock
import org.arbutusnotch.telemetry.EventLog
import java.io.IOException
import java.nio.charset.StandardCharsets
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends the response to one request, on the event loop; calls after the caller disconnected have no effect. */
public interface Responder {
    /** Whether the write buffer of the connection has room for more bytes. */
    public val isWritable: Boolean

    /** Callback for [isWritable] becoming true again. */
    public var onWritable: () -> Unit

    /** Sends a complete response; [onWritten] is called when it is written or the connection is closed. */
    public fun send(head: ResponseHead, body: ByteArray, onWritten: () -> Unit = {})

    /** Starts a response whose body follows in chunks, so that [abort] can show at any time that it is incomplete. */
    public fun startStreaming(head: ResponseHead)

    /** Sends a part of the body and releases [content]. */
    public fun sendContent(content: ByteBuf)

    /** Completes a response that [startStreaming] started. */
    public fun end()

    /** Closes the connection in the middle of the response, so that the caller sees it as incomplete. */
    public fun abort()

    /** Closes the connection if the caller has not yet taken the whole response, which frees its memory. */
    public fun dropUnwritten()
}

internal class CallerConnection(
    private val limits: CallerLimits,
    private val clock: Clock,
    private val handler: RequestHandler,
    private var decoder: RequestDecoder?,
    private val intake: ClientIntake,
    private val connectionShares: ServiceShares,
    private val countsAnswers: Boolean,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private val log = EventLog("caller")
    private var context: ChannelHandlerContext? = null
    private val deferred = ArrayDeque<HttpObject>()

    /** Memory of the deferred messages, of the request in progress and of the answer that is written, in bytes. */
    private var deferredBytes = 0
    private var requestBytes = 0
    private var answerBytes = 0
    private val account = MemoryAccount { giveUpMemory() }
    private val writeProgress = WriteProgress(clock)
    private var closing = false
    private var closed = false
    private var resuming = false
    private var rejectedAt: Timestamp? = null
    private var receiving: ReceivingRequest? = null
    private var current: ActiveResponse? = null

    /** Service of the request in progress; null if there is none or the instance answers it itself. */
    private var served: PoolId? = null
    private var rejected = false
    private var idleSince: Timestamp = clock.now()

    /** Handler that passes received bytes on to the decoder. */
    val gate = ReadGate(this, intake.turns)

    /** Time until which a new connection counts as busy, since a request may lie unread; null once one was read. */
    private var firstReadBy: Timestamp? = clock.now() + FIRST_READ_TIME

    /** Deadline for a request head whose first bytes have arrived; null between requests. */
    private var headDeadline: Timestamp? = null

    /** Whether the connection closes after its next response. */
    var closesAfterResponse = false

    /** The write that ends the latest response; null before the first one. */
    private var lastWrite: ChannelFuture? = null

    /** Whether a request is received, processed or not yet read, or its caller has not yet taken the whole response. */
    val isBusy: Boolean
        get() = current != null || receiving != null || hasUnwrittenAnswer || isUnread || gate.isHolding

    private val isUnread: Boolean
        get() = firstReadBy.let { it != null && clock.now() < it }

    /** Whether the latest response is complete here but not yet taken by its caller. */
    val hasUnwrittenAnswer: Boolean
        get() = lastWrite?.isDone == false

    /** Whether the connection reads no more requests. */
    val isRejected: Boolean
        get() = rejected

    /** Whether the connection is only open so that its client can take the response that rejects it. */
    val awaitsClose: Boolean
        get() = rejected && !closing

    /** Whether the connection may be closed to make room for others. */
    val mayYield: Boolean
        get() = current == null && !hasUnwrittenAnswer && !isUnread && !isArriving && !rejected && !closing

    /** Whether a request arrives without a stall; a new connection must not end it. */
    private val isArriving: Boolean
        get() = (receiving != null || headDeadline != null) && clock.now() < account.progressAt + ARRIVAL_STALL

    /** Time at which the client last sent something. */
    val progressAt: Timestamp
        get() = account.progressAt

    private val mustDefer: Boolean
        get() = current != null || hasUnwrittenAnswer || deferred.isNotEmpty()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        account.progressAt = clock.now()
        reserve()
    }

    /** Starts the head deadline: the decoder emits nothing until a head is complete. */
    fun onBytesReceived() {
        firstReadBy = null
        account.progressAt = clock.now()
        if (headDeadline == null && receiving == null && !mustDefer) {
            headDeadline = clock.now() + limits.headTimeout
        }
    }

    /** Reserves the memory of the bytes that were read. */
    fun onBytesDecoded() {
        account.progressAt = clock.now()
        reserve()
    }

    /** Stops reading, and reserves the memory of bytes that wait to be decoded. */
    fun onBytesHeld() {
        updateReading()
        reserve()
    }

    /** Reserves the memory that the connection holds now; rejects it and returns false if there is not enough. */
    private fun reserve(): Boolean {
        if (rejected || closed) return false
        account.mayYield = current == null && !hasUnwrittenAnswer
        val decoderBytes = decoder?.heldBytes ?: 0
        val unreadBytes = gate.memoryBytes + decoderBytes + deferredBytes
        val bytes = CONNECTION_BYTES + unreadBytes + (receiving?.heldBytes ?: 0) + requestBytes + answerBytes
        if (intake.budget.resize(account, bytes, clock.now())) return true
        giveUpMemory()
        return false
    }

    /** Makes room for the memory of other connections. */
    fun giveUpMemory(rejection: ClientRejection = ClientRejection.MEMORY) {
        if (rejected || closed) return
        intake.recordRejection(rejection)
        val isReceiving = receiving != null || headDeadline != null
        if (isReceiving && current == null) reject(RequestError.OVERLOADED) else close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is HttpObject) {
            ReferenceCountUtil.release(message)
            return
        }
        if (rejected) {
            ReferenceCountUtil.release(message)
        } else if (mustDefer) {
            defer(message)
        } else {
            receive(message)
        }
    }

    /** Keeps [message] until the response before it is written, and stops reading meanwhile. */
    private fun defer(message: HttpObject) {
        val kept = if (message is HttpContent && message.content().isReadable) copyOf(message) else message
        deferred.addLast(kept)
        deferredBytes += memoryOf(kept)
        updateReading()
        if (deferredBytes <= limits.bodyBytes + limits.headBytes * HEAP_PER_HEAD_BYTE) return
        log.warn("caller_pipelines_too_much") { field("bytes", deferredBytes) }
        close()
    }

    /** Copies [content], which would keep the whole buffer of a read. */
    private fun copyOf(content: HttpContent): HttpObject {
        val bytes = ByteArray(content.content().readableBytes())
        content.content().readBytes(bytes)
        return content.replace(Unpooled.wrappedBuffer(bytes)).also { content.release() }
    }

    private fun memoryOf(message: HttpObject): Int = MESSAGE_BYTES + when (message) {
        is HttpRequest -> message.headers().size() * HEAP_BYTES_PER_FIELD + limits.headBytes.coerceAtMost(MESSAGE_BYTES)
        is HttpContent -> message.content().readableBytes()
        else -> 0
    }

    private fun releaseDeferred() {
        deferred.forEach { ReferenceCountUtil.release(it) }
        deferred.clear()
        deferredBytes = 0
    }

    /** Reads while nothing received before waits; a rejected client may send on until it has taken its response. */
    fun updateReading() {
        context?.channel()?.config()?.isAutoRead = rejected || (deferred.isEmpty() && !gate.isHolding)
    }

    private fun resumeDeferred() {
        // A request that is answered at once ends in here again.
        if (resuming) return
        resuming = true
        try {
            while (current == null && !rejected && !hasUnwrittenAnswer) {
                val next = deferred.removeFirstOrNull() ?: break
                deferredBytes -= memoryOf(next)
                receive(next)
            }
        } finally {
            resuming = false
        }
        if (closed || rejected) return
        reserve()
        updateReading()
    }

    private fun receive(message: HttpObject) {
        try {
            if (message.decoderResult().isFailure) return reject(errorOf(message.decoderResult().cause()))
            if (message is HttpRequest) beginRequest(message)
            if (message is HttpContent) receiveContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun beginRequest(request: HttpRequest) {
        val head = RequestHead(
            method = request.method().name(),
            target = request.uri(),
            headers = request.headers().entries().map { HeaderField(it.key, it.value) },
        )
        val error = RequestValidator.findError(head, request.protocolVersion().text())
        if (error != null) return reject(error)
        val expectsContinue = head.header("expect").equals("100-continue", ignoreCase = true)
        headDeadline = null
        val service = handler.serviceOf(head)
        val received = ReceivingRequest(head, service, bodyDeadline = clock.now() + BODY_TIMEOUT)
        receiving = received
        val rejection = service?.let { findSpentShare(it, received.declaredBytes) }
        if (rejection != null) return rejectForService(rejection)
        if (expectsContinue) {
            context?.writeAndFlush(Unpooled.copiedBuffer(CONTINUE_RESPONSE, StandardCharsets.ISO_8859_1))
        }
        reserve()
    }

    private fun receiveContent(content: HttpContent) {
        val request = receiving ?: return
        val bytes = content.content()
        if (request.body.size + bytes.readableBytes() > limits.bodyBytes) return reject(RequestError.BODY_TOO_LARGE)
        request.body.add(bytes)
        if (content !is LastHttpContent || !reserve()) return
        val rejection = request.service?.let { findSpentShare(it, request.servedBytes) }
        if (rejection != null) return rejectForService(rejection)
        request.service?.let { startServing(it, request.servedBytes) }
        receiving = null
        requestBytes = request.heldBytes + ACTIVE_REQUEST_BYTES
        val closeRequested = request.head.header("connection").equals("close", ignoreCase = true)
        val response = ActiveResponse(closeRequested)
        current = response
        val listener = handler.handle(HttpRequestMessage(request.head, request.body.complete()), response)
        if (current === response) response.disconnectListener = listener
    }

    /** Returns which share of [service] has no room for a request that holds [bytes]; null if it may be served. */
    private fun findSpentShare(service: PoolId, bytes: Int): ClientRejection? = when {
        !connectionShares.hasRoom(service, units = 1) -> ClientRejection.SERVICE_CONNECTIONS
        !intake.budget.mayServe(service, bytes) -> ClientRejection.SERVICE_MEMORY
        else -> null
    }

    private fun startServing(service: PoolId, bytes: Int) {
        intake.budget.startServing(account, service, bytes)
        connectionShares.add(service, units = 1)
        served = service
    }

    private fun endServing() {
        intake.budget.endServing(account)
        served?.let { connectionShares.remove(it, units = 1) }
        served = null
    }

    private fun rejectForService(rejection: ClientRejection) {
        intake.recordRejection(rejection)
        reject(RequestError.OVERLOADED)
    }

    private fun reject(error: RequestError) {
        rejected = true
        rejectedAt = clock.now()
        receiving = null
        val isOverloaded = error == RequestError.OVERLOADED
        if (!isOverloaded) log.info("request_rejected") { field("status", error.status) }
        val head = ResponseHead(
            error.status,
            error.reason,
            listOf(HeaderField("Content-Length", "0"), HeaderField("Connection", "close")) +
                if (isOverloaded) listOf(HeaderField("Retry-After", RETRY_AFTER_SECONDS)) else emptyList(),
        )
        intake.budget.release(account)
        releaseDeferred()
        gate.discard()
        updateReading()
        val channel = context ?: return
        val written = channel.writeAndFlush(HeadWriter.response(head, channel.alloc()))
        dropDecoder(channel)
        if (!isOverloaded) {
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        // Closing while the client sends resets the connection, and the client might not see the response.
        written.addListener { (channel.channel() as SocketChannel).shutdownOutput() }
    }

    /** Frees the incomplete head or trailers that the decoder holds, once it has returned from the current read. */
    private fun dropDecoder(channel: ChannelHandlerContext) {
        val dropped = decoder ?: return
        decoder = null
        channel.executor().execute {
            if (channel.pipeline().context(dropped) != null) channel.pipeline().remove(dropped)
        }
    }

    private fun errorOf(cause: Throwable): RequestError = when (cause) {
        is TooLongHttpLineException -> RequestError.TARGET_TOO_LONG
        is TooLongHttpHeaderException -> RequestError.HEAD_TOO_LARGE
        else -> RequestError.MALFORMED
    }

    private fun finish(response: ActiveResponse, close: Boolean) {
        if (current !== response) return
        current = null
        requestBytes = 0
        endServing()
        idleSince = clock.now()
        if (close) {
            context?.writeAndFlush(Unpooled.EMPTY_BUFFER)?.addListener(ChannelFutureListener.CLOSE)
            return
        }
        resumeDeferred()
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) current?.onWritable?.invoke()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closed = true
        val response = current
        current = null
        receiving = null
        releaseDeferred()
        onClosed(this)
        response?.disconnectListener?.onDisconnect()
        endServing()
        intake.budget.release(account)
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) log.warn("caller_connection_failed", cause)
        context.close()
    }

    fun close() {
        closing = true
        context?.close()
    }

    /**
     * Rejects a request that takes too long to arrive or stops arriving, and closes a connection that exceeds the idle
     * timeout or whose client does not read.
     */
    fun closeIfTimedOut(currentLimits: CallerLimits) {
        val now = clock.now()
        val rejectedSince = rejectedAt
        when {
            rejectedSince != null -> if (now >= rejectedSince + REJECTION_TIME) close()
            isReadTooSlowly(currentLimits) -> closeStalled()
            current != null || rejected -> Unit
            isReceivedTooSlowly(now) -> rejectStalled()
            receiving != null || headDeadline != null || gate.isHolding -> Unit
            now >= idleSince + currentLimits.idleTimeout && !hasUnwrittenAnswer -> close()
        }
    }

    /** A client is not late while the instance holds what it has sent, except that each body has a last deadline. */
    private fun isReceivedTooSlowly(now: Timestamp): Boolean {
        val bodyDeadline = receiving?.bodyDeadline
        val stallDeadline = if (bodyDeadline == null) headDeadline else account.progressAt + BODY_STALL_TIMEOUT
        return listOfNotNull(bodyDeadline, stallDeadline.takeUnless { gate.isHolding }).any { now >= it }
    }

    private fun isReadTooSlowly(currentLimits: CallerLimits): Boolean {
        val channel = context?.channel() ?: return false
        return writeProgress.stalledFor(channel) >= currentLimits.idleTimeout
    }

    private fun rejectStalled() {
        intake.recordRejection(ClientRejection.STALLED)
        reject(RequestError.REQUEST_TIMEOUT)
    }

    private fun closeStalled() {
        intake.recordRejection(ClientRejection.STALLED)
        close()
    }

    private inner class ReceivingRequest(val head: RequestHead, val service: PoolId?, val bodyDeadline: Timestamp) {
        val body = RequestBodyCollector()
        private val headBytes =
            head.target.length + head.headers.sumOf { it.name.length + it.value.length + HEAP_BYTES_PER_FIELD }

        /** Memory of head and body. */
        val heldBytes: Int
            get() = headBytes + body.capacity

        /** Memory that the request will hold while it is served, as far as its head tells. */
        val declaredBytes: Int
            get() = servedBytes + (head.header("content-length")?.toIntOrNull() ?: 0).coerceAtMost(limits.bodyBytes)

        /** Memory that the request holds while it is served. */
        val servedBytes: Int
            get() = CONNECTION_BYTES + ACTIVE_REQUEST_BYTES + heldBytes
    }

    /** Continues with deferred requests, if there are any, once the current event is handled. */
    private fun resumeLater() {
        if (closed) return
        if (deferred.isEmpty()) reserve() else context?.executor()?.execute { if (!closed) resumeDeferred() }
    }

    private inner class ActiveResponse(private val closeRequested: Boolean) : Responder {
        var disconnectListener: DisconnectListener? = null
        override var onWritable: () -> Unit = {}

        override val isWritable: Boolean
            get() = context?.channel()?.isWritable ?: false

        private val allocator: ByteBufAllocator
            get() = context?.alloc() ?: ByteBufAllocator.DEFAULT

        private val closesConnection: Boolean
            get() = closeRequested || closesAfterResponse

        override fun send(head: ResponseHead, body: ByteArray, onWritten: () -> Unit) {
            val channel = context
            if (current !== this || channel == null) return onWritten()
            val close = closesConnection
            val lengthHeader = listOf(HeaderField("Content-Length", body.size.toString()))
            val framedHead = head.copy(headers = head.headers + lengthHeader + connectionHeaders(close))
            if (countsAnswers) {
                answerBytes = body.size
                if (!reserve()) return onWritten()
            }
            val bytes = HeadWriter.response(framedHead, allocator)
            ownWrite = channel.writeAndFlush(bytes.writeBytes(body)).addListener { onAnswerWritten(onWritten) }
            lastWrite = ownWrite
            finish(this, close)
        }

        private var ownWrite: ChannelFuture? = null

        private fun onAnswerWritten(onWritten: () -> Unit) {
            answerBytes = 0
            onWritten()
            resumeLater()
        }

        override fun dropUnwritten() {
            if (ownWrite?.isDone == false) close()
        }

        override fun startStreaming(head: ResponseHead) {
            if (current !== this) return
            val framing = HeaderField("Transfer-Encoding", "chunked")
            val framedHead = head.copy(headers = head.headers + framing + connectionHeaders(closesConnection))
            closesAtEnd = closesConnection
            context?.write(HeadWriter.response(framedHead, allocator))
        }

        private var closesAtEnd = false

        override fun sendContent(content: ByteBuf) {
            if (current !== this || !content.isReadable) {
                content.release()
                return
            }
            context?.writeAndFlush(HeadWriter.chunk(content))
        }

        override fun end() {
            if (current !== this) return
            lastWrite = context?.writeAndFlush(HeadWriter.lastChunk())?.addListener { resumeLater() }
            finish(this, closesAtEnd)
        }

        override fun abort() {
            if (current !== this) return
            current = null
            rejected = true
            close()
        }

        private fun connectionHeaders(close: Boolean) =
            if (close) listOf(HeaderField("Connection", "close")) else emptyList()
    }

    private companion object {
        const val CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n"

        /** Memory in bytes of a connection with its buffers, of a request in progress, and of a message or its text. */
        const val CONNECTION_BYTES = 6_144
        const val ACTIVE_REQUEST_BYTES = 8_192
        const val MESSAGE_BYTES = 512

        /** Memory in bytes of a header field besides its text, and of each byte of a head with the shortest fields. */
        const val HEAP_BYTES_PER_FIELD = 192
        const val HEAP_PER_HEAD_BYTE = 48

        /** Time after which a client that was rejected for lack of memory may try again. */
        const val RETRY_AFTER_SECONDS = "1"

        /** Time in which a client takes the response that rejects it. */
        val REJECTION_TIME = 1.seconds

        /** Time without progress after which an incomplete request yields its connection at the bound. */
        val ARRIVAL_STALL = 1.seconds

        /** Time in which a further part of a body must arrive. */
        val BODY_STALL_TIMEOUT = 5.seconds

        /** Time in which the first bytes of a connection are read, also while there is little processor time. */
        val FIRST_READ_TIME = 300.milliseconds

        /** Time for a body to arrive after its head; the configured limits include none. */
        val BODY_TIMEOUT = 10.seconds
    }
}
