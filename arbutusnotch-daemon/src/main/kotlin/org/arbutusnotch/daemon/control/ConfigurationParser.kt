/*
 * Parses configuration files outside the control thread, which the parsing of a large file would block for too long.
 */
package org.arbutusnotch.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import org.apache.commons.codec.digest.DigestUtils
import org.arbutusnotch.core.configuration.ConfigurationErrors
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import org.arbutusnotch.settings.DeploymentConfigurationReader
import java.util.concurrent.atomic.AtomicReference

/** Caches the result for the latest file, so that parsing it again costs only its digest. */
internal class ConfigurationParser {
    private val latest = AtomicReference<ParsedFile?>()

    /** Parses [bytes]; the result depends on nothing else. */
    fun parse(bytes: ByteArray): Result<DeploymentConfiguration, ConfigurationErrors> {
        val digest = DigestUtils.sha256Hex(bytes)
        latest.get()?.takeIf { it.digest == digest }?.let { return it.result }
        val result = DeploymentConfigurationReader.read(bytes, FILE_NAME)
            .mapError { errors -> ConfigurationErrors(errors.map { it.toString() }) }
        latest.set(ParsedFile(digest, result))
        return result
    }

    private class ParsedFile(val digest: String, val result: Result<DeploymentConfiguration, ConfigurationErrors>)

    private companion object {
        const val FILE_NAME = "configuration"
    }
}
