/*
 * Finds the caller of a request by its bearer key. The operators' file holds only digests of keys.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.id.ContentDigest

private const val BEARER = "bearer "

/** Returns the caller whose key [headers] carry; null when there is no key or it is not known. */
internal fun CallerDirectory.authenticate(headers: RequestHeaders): CallerIdentity? {
    val value = headers.get(HttpHeaderNames.AUTHORIZATION) ?: return null
    if (!value.startsWith(BEARER, ignoreCase = true)) return null
    val key = value.substring(BEARER.length).trim()
    return caller(ContentDigest(DigestUtils.sha256Hex(key)))
}
