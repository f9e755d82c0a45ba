/*
 * Authenticates callers by their bearer key. The deployment configuration contains only digests of the keys.
 */
package org.arbutusnotch.daemon.entry

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeaders
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.configuration.CallerDirectory
import org.arbutusnotch.core.configuration.CallerIdentity
import org.arbutusnotch.core.id.ContentDigest

private const val BEARER_PREFIX = "bearer "

/** Returns the caller that the bearer key in [headers] identifies; null when the key is missing or unknown. */
internal fun CallerDirectory.authenticate(headers: RequestHeaders): CallerIdentity? {
    val value = headers.get(HttpHeaderNames.AUTHORIZATION) ?: return null
    if (!value.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
    val key = value.substring(BEARER_PREFIX.length).trim()
    return caller(ContentDigest(DigestUtils.sha256Hex(key)))
}
