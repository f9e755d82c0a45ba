/*
 * What two attempts of a caller at the same request have in common.
 *
 * Each attempt has an id of its own and may arrive at another instance. Host, method, target and body stay the same.
 * The caller is left out: a request that ends servers does so for every caller.
 */
package org.arbutusnotch.forwarding.exchange

import org.apache.commons.codec.binary.Hex
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.id.ContentDigest
import org.arbutusnotch.forwarding.http.HttpRequestMessage

/** Returns the digest of what [request] asks for, whatever its id. */
internal fun contentDigest(request: HttpRequestMessage): ContentDigest {
    val head = request.head
    val start = "${head.header("host").orEmpty().lowercase()}\n${head.method} ${head.target}\n"
    val digest = DigestUtils.getSha256Digest()
    digest.update(start.toByteArray(Charsets.ISO_8859_1))
    digest.update(request.body)
    return ContentDigest(Hex.encodeHexString(digest.digest().copyOf(DIGEST_BYTES)))
}

/** Bytes of a digest, enough to tell all requests apart; it travels between instances. */
private const val DIGEST_BYTES = 16
