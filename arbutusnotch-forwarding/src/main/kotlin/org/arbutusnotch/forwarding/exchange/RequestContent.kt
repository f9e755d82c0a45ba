/*
 * Identifies a request by its content, independent of its id.
 *
 * Each attempt of a caller has its own id and may arrive at a different instance, but host, method, target and body
 * stay the same. The digest does not cover the caller: a request that crashes servers does so for every caller.
 */
package org.arbutusnotch.forwarding.exchange

import org.apache.commons.codec.binary.Hex
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.forwarding.http.HttpRequestMessage

/** Returns the digest of host, method, target and body of [request]. */
internal fun contentDigest(request: HttpRequestMessage): ContentDigest {
    val head = request.head
    val start = "${head.header("host").orEmpty().lowercase()}\n${head.method} ${head.target}\n"
    val digest = DigestUtils.getSha256Digest()
    digest.update(start.toByteArray(Charsets.ISO_8859_1))
    request.body.forEachBlock { block, length -> digest.update(block, 0, length) }
    return ContentDigest(Hex.encodeHexString(digest.digest().copyOf(DIGEST_BYTES)))
}

/** Number of bytes of a digest: short, since it is sent between instances, but enough to avoid collisions. */
private const val DIGEST_BYTES = 16
