/*
 * A response body that is buffered in memory until it is complete.
 *
 * Its bytes are copied into blocks, however small the parts are in which they arrive: an array for each part would take
 * several times the memory of its content, and the budget would not count it.
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
    var onAborted: (String) -> Unit,
) : BufferedAnswer {
    private var blocks = ArrayList<ByteArray>()

    /** Bytes of all blocks; those after the first [size] are free, and all of them are in the last block. */
    private var capacity = 0
    private var size = 0
    private var closed = false

    /** Appends [content] and releases it; has no effect once the body was discarded. */
    fun add(content: ByteBuf) {
        try {
            if (!closed && content.isReadable) append(content)
        } finally {
            content.release()
        }
    }

    private fun append(content: ByteBuf) {
        if (size + content.readableBytes() > maximumBytes) {
            return abort("response body exceeds the limit of $maximumBytes bytes")
        }
        read(content, minOf(content.readableBytes(), capacity - size))
        if (!content.isReadable) return
        val block = maxOf(content.readableBytes(), capacity.coerceIn(SMALLEST_BLOCK_BYTES, LARGEST_BLOCK_BYTES))
        if (!memory.resize(this, capacity + block)) return evict()
        blocks += ByteArray(block)
        capacity += block
        read(content, content.readableBytes())
    }

    private fun read(content: ByteBuf, bytes: Int) {
        if (bytes == 0) return
        val block = blocks.last()
        content.readBytes(block, block.size - (capacity - size), bytes)
        size += bytes
    }

    override fun evict(): Unit = abort("response buffer budget exhausted by a body of $size bytes")

    private fun abort(reason: String) {
        if (closed) return
        discard()
        onAborted(reason)
    }

    /** Returns the complete body; it counts against the budget until [discard]. */
    fun bytes(): ByteArray {
        val complete = ByteArray(size)
        var position = 0
        blocks.forEach { block ->
            val used = minOf(block.size, size - position)
            block.copyInto(complete, position, endIndex = used)
            position += used
        }
        blocks = arrayListOf(complete)
        capacity = size
        return complete
    }

    /** Frees the body and returns its bytes to the budget. */
    fun discard() {
        closed = true
        blocks = ArrayList()
        memory.release(this)
    }

    private companion object {
        /** Sizes of the blocks in bytes; each block is as large as all before it within these limits. */
        const val SMALLEST_BLOCK_BYTES = 1_024
        const val LARGEST_BLOCK_BYTES = 65_536
    }
}
