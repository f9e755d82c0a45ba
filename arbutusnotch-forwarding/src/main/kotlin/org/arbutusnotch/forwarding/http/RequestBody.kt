/*
 * The body of a request, held once for all attempts.
 *
 * Its bytes are held in blocks: an array that grows is copied to twice its size, and an array for each part in which
 * the bytes arrive would take several times the memory of its content.
 */
package org.arbutusnotch.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Holds the bytes of a complete body. */
public class RequestBody internal constructor(private var blocks: List<ByteArray>, public val size: Int) {
    /** Frees the bytes when no further attempt will send them; buffers that are not written yet keep theirs. */
    internal fun discard() {
        blocks = emptyList()
    }

    /** Calls [action] with each block and the number of bytes used in it, in order. */
    internal inline fun forEachBlock(action: (block: ByteArray, length: Int) -> Unit) {
        var remaining = size
        blocks.forEach { block ->
            val length = minOf(block.size, remaining)
            if (length > 0) action(block, length)
            remaining -= length
        }
    }

    /** Returns buffers that share the bytes of the body; each must be written or released. */
    internal fun buffers(): List<ByteBuf> {
        val buffers = ArrayList<ByteBuf>(blocks.size)
        forEachBlock { block, length -> buffers += Unpooled.wrappedBuffer(block, 0, length) }
        return buffers
    }

    /** Returns a copy of the bytes. */
    public fun toByteArray(): ByteArray {
        val bytes = ByteArray(size)
        var position = 0
        forEachBlock { block, length ->
            block.copyInto(bytes, position, endIndex = length)
            position += length
        }
        return bytes
    }

    internal companion object {
        fun of(bytes: ByteArray) = RequestBody(listOf(bytes), bytes.size)
    }
}

/** Collects the bytes of a body as they arrive. */
internal class RequestBodyCollector {
    private val blocks = ArrayList<ByteArray>()

    /** Bytes of all blocks; those after the first [size] are free, and all of them are in the last block. */
    var capacity = 0
        private set
    var size = 0
        private set

    /** Copies the readable bytes of [content]. */
    fun add(content: ByteBuf) {
        while (content.isReadable) {
            if (size == capacity) addBlock()
            val block = blocks.last()
            val length = minOf(content.readableBytes(), capacity - size)
            content.readBytes(block, block.size - (capacity - size), length)
            size += length
        }
    }

    private fun addBlock() {
        val block = capacity.coerceIn(SMALLEST_BLOCK_BYTES, LARGEST_BLOCK_BYTES)
        blocks += ByteArray(block)
        capacity += block
    }

    /** Returns the body, which shares the blocks; nothing may be added afterwards. */
    fun complete() = RequestBody(blocks, size)

    private companion object {
        /** Sizes of the blocks in bytes; each block is as large as all before it within these limits. */
        const val SMALLEST_BLOCK_BYTES = 1_024
        const val LARGEST_BLOCK_BYTES = 65_536
    }
}
