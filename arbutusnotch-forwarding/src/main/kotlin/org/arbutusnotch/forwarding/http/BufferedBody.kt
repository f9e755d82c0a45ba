/*
 * A response body that is buffered in memory until it is complete.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BufferedAnswer

/**
 * Buffers the parts of a body.
 *
 * @param maximumBytes size in bytes above which the body is discarded
 * @param memory budget that all buffered bodies of the instance share
 * @param onAborted is called once with the reason when the body exceeds a limit and is discarded
 */
internal class BufferedBody(
    private val maximumBytes: Int,
    private val memory: AnswerBufferBudget,
    private val onAborted: (String) -> Unit,
) : BufferedAnswer {
    private var parts = ArrayList<ByteArray>()
    private var size = 0
    private var closed = false

    /** Appends [content] and releases it; has no effect once the body was discarded. */
    fun add(content: ByteBuf) {
        if (closed || !content.isReadable) {
            content.release()
            return
        }
        val part = ByteArray(content.readableBytes())
        content.readBytes(part)
        content.release()
        size += part.size
        if (size > maximumBytes) return abort("response body exceeds the limit of $maximumBytes bytes")
        if (!memory.resize(this, size)) return evict()
        parts += part
    }

    override fun evict(): Unit = abort("response buffer budget exhausted by a body of $size bytes")

    private fun abort(reason: String) {
        if (closed) return
        discard()
        onAborted(reason)
    }

    /** Returns the complete body; it counts against the budget until [discard]. */
    fun bytes(): ByteArray {
        val complete = ByteArray(parts.sumOf { it.size })
        var position = 0
        parts.forEach { part ->
            part.copyInto(complete, position)
            position += part.size
        }
        parts = arrayListOf(complete)
        return complete
    }

    /** Frees the body and returns its bytes to the budget. */
    fun discard() {
        closed = true
        parts = ArrayList()
        memory.release(this)
    }
}
