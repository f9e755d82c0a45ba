/*
 * A body that is kept in memory until it is complete.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import org.arbutusnotch.core.forwarding.AnswerBufferBudget
import org.arbutusnotch.core.forwarding.BufferedAnswer

/**
 * Collects the parts of a body.
 *
 * @param maximumBytes size above which the body is given up
 * @param memory memory that all bodies of the instance share
 * @param onGivenUp is called once with the reason when the body is given up
 */
internal class CollectedBody(
    private val maximumBytes: Int,
    private val memory: AnswerBufferBudget,
    private val onGivenUp: (String) -> Unit,
) : BufferedAnswer {
    private var parts = ArrayList<ByteArray>()
    private var size = 0
    private var closed = false

    /** Adds [content] and releases it; nothing is added once the body was given up or discarded. */
    fun add(content: ByteBuf) {
        if (closed || !content.isReadable) {
            content.release()
            return
        }
        val part = ByteArray(content.readableBytes())
        content.readBytes(part)
        content.release()
        size += part.size
        if (size > maximumBytes) return giveUp("answer is larger than $maximumBytes bytes")
        if (!memory.resize(this, size)) return evict()
        parts += part
    }

    override fun evict(): Unit = giveUp("no memory for an answer of $size bytes")

    private fun giveUp(reason: String) {
        if (closed) return
        discard()
        onGivenUp(reason)
    }

    /** Returns the whole body; its memory counts until it is discarded. */
    fun bytes(): ByteArray {
        val whole = ByteArray(parts.sumOf { it.size })
        var position = 0
        parts.forEach { part ->
            part.copyInto(whole, position)
            position += part.size
        }
        parts = arrayListOf(whole)
        return whole
    }

    /** Frees the memory. */
    fun discard() {
        closed = true
        parts = ArrayList()
        memory.release(this)
    }
}
