/*
 * Adapts an Armeria stream message to a Kotlin flow.
 */
package org.arbutusnotch.daemon.backend

import com.linecorp.armeria.common.stream.StreamMessage
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription

/**
 * Returns the elements of this stream as a flow that can be collected once.
 *
 * When the collector stops early, the stream is aborted, which closes its connection. If [isComplete] returns true at
 * that point, the rest of the stream is discarded instead, so that the connection can be reused.
 */
internal fun <T : Any> StreamMessage<T>.asFlow(isComplete: () -> Boolean): Flow<T> = flow {
    val subscriber = ChannelSubscriber<T>()
    subscribe(subscriber)
    try {
        for (element in subscriber.elements) {
            emit(element)
            subscriber.request(1)
        }
    } finally {
        if (isComplete()) subscriber.discardRemaining() else abort()
    }
}

/** Buffers the elements of a stream in a channel. */
private class ChannelSubscriber<T : Any> : Subscriber<T> {
    /** Holds at most [WINDOW_ELEMENTS] elements, because one more is requested only after one was emitted. */
    val elements = Channel<T>(Channel.UNLIMITED)

    @Volatile
    private var subscription: Subscription? = null

    fun request(count: Long) {
        subscription?.request(count)
    }

    fun discardRemaining() {
        elements.cancel()
        subscription?.request(Long.MAX_VALUE)
    }

    override fun onSubscribe(subscription: Subscription) {
        this.subscription = subscription
        subscription.request(WINDOW_ELEMENTS)
    }

    override fun onNext(element: T) {
        elements.trySend(element)
    }

    override fun onError(cause: Throwable) {
        elements.close(cause)
    }

    override fun onComplete() {
        elements.close()
    }

    private companion object {
        const val WINDOW_ELEMENTS = 64L
    }
}
