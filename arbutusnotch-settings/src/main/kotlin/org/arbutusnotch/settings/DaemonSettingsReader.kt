/*
 * Reads the settings file of a daemon.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import org.arbutusnotch.core.id.FailureDomainId
import org.arbutusnotch.core.id.Incarnation
import org.arbutusnotch.core.id.InstanceAddress
import org.tomlj.TomlPosition
import org.tomlj.TomlTable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** Reads [DaemonSettings] from TOML and reports every error of the file. */
public object DaemonSettingsReader {
    /** Reads the file at [path]; an I/O failure is returned as an error of the file. */
    public fun read(path: Path): Result<DaemonSettings, List<SettingsError>> =
        readFile(path).andThen { bytes -> read(bytes, path.toString()) }

    /** Reads [text]; errors name [fileName]. */
    public fun read(text: String, fileName: String): Result<DaemonSettings, List<SettingsError>> =
        read(text.toByteArray(), fileName)

    /** Reads [bytes]; errors name [fileName]. */
    public fun read(bytes: ByteArray, fileName: String): Result<DaemonSettings, List<SettingsError>> =
        parseToml(bytes, fileName).andThen { document -> readDocument(document, fileName) }

    private fun readDocument(document: TomlTable, fileName: String): Result<DaemonSettings, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        val settings = TomlTableReader(fileName, document, "", DOCUMENT_START, errors).daemonSettings()
        return if (settings == null || errors.isNotEmpty()) Err(errors.sortedByPosition()) else Ok(settings)
    }
}

/** Position of errors about missing top-level keys. */
internal val DOCUMENT_START: TomlPosition = TomlPosition.positionAt(1, 1)

internal fun List<SettingsError>.sortedByPosition(): List<SettingsError> =
    sortedWith(compareBy(SettingsError::line, SettingsError::column))

/** Reads at most one byte more than the size limit, so that a huge file is rejected without being loaded. */
internal fun readFile(path: Path): Result<ByteArray, List<SettingsError>> = try {
    Ok(Files.newInputStream(path).use { input -> input.readNBytes(MAXIMUM_FILE_BYTES + 1) })
} catch (exception: IOException) {
    val found = "${exception.javaClass.simpleName}: ${exception.message}"
    Err(listOf(SettingsError(path.toString(), 1, 1, "", found, "a readable file")))
}

private fun TomlTableReader.daemonSettings(): DaemonSettings? {
    val instance = table("instance").instanceSettings()
    val platform = table("platform").platformSettings()
    val limits = table("limits").limitSettings()
    val routing = table("routing").routingSettings()
    val seed = table("seed").seedSettings()
    rejectUnknownKeys()
    if (instance == null || platform == null || routing == null) return null
    return DaemonSettings(instance, platform, limits, routing, seed)
}

private fun TomlTableReader.instanceSettings(): InstanceSettings? {
    val entry = string("entry_address", StringFormat.ADDRESS)
    val peer = string("peer_address", StringFormat.ADDRESS)
    val peerListen = if (has("peer_listen_address")) string("peer_listen_address", StringFormat.ADDRESS) else peer
    val operator = string("operator_address", StringFormat.ADDRESS)
    val failureDomain = string("failure_domain", StringFormat.NAME)
    val incarnation = if (has("incarnation")) long("incarnation", DaemonRanges.INCARNATION) else null
    rejectUnknownKeys()
    val peerKey = if (has("peer_listen_address")) "peer_listen_address" else "peer_address"
    val addresses = listOf("entry_address" to entry, peerKey to peerListen, "operator_address" to operator)
    requireDistinct(addresses)
    return InstanceSettings(
        entryAddress = entry ?: return null,
        peerAddress = InstanceAddress(peer ?: return null),
        operatorAddress = operator ?: return null,
        failureDomain = FailureDomainId(failureDomain ?: return null),
        incarnation = incarnation?.let(::Incarnation),
        peerListenAddress = InstanceAddress(peerListen ?: return null),
    )
}

/** Reports each address that an earlier key also has, because two listeners cannot bind one address. */
private fun TomlTableReader.requireDistinct(addresses: List<Pair<String, String?>>) {
    addresses.forEachIndexed { index, (key, address) ->
        val earlier = addresses.take(index).firstOrNull { (_, other) -> address != null && other == address }
        if (earlier != null) {
            reportError(key, "the same address as ${earlier.first}", "a different address for each listener")
        }
    }
}

private fun TomlTableReader.platformSettings(): PlatformSettings? {
    val address = string("address", StringFormat.ADDRESS)
    rejectUnknownKeys()
    return address?.let(::PlatformSettings)
}

private fun TomlTableReader.limitSettings(): LimitSettings {
    val defaults = LimitSettings()
    val limits = LimitSettings(
        headerBytes = intOrDefault("header_bytes", DaemonRanges.HEADER_BYTES, defaults.headerBytes),
        bodyBytes = intOrDefault("body_bytes", DaemonRanges.BODY_BYTES, defaults.bodyBytes),
        promptTokens = intOrDefault("prompt_tokens", DaemonRanges.PROMPT_TOKENS, defaults.promptTokens),
        bodyTimeout = intOrDefault(
            "body_seconds",
            DaemonRanges.BODY_SECONDS,
            defaults.bodyTimeout.inWholeSeconds.toInt(),
        ).seconds,
        permitRecords = intOrDefault("permit_records", DaemonRanges.PERMIT_RECORDS, defaults.permitRecords),
        answerBytes = intOrDefault("answer_bytes", DaemonRanges.ANSWER_BYTES, defaults.answerBytes),
        workerThreads = intOrDefault("worker_threads", DaemonRanges.WORKER_THREADS, defaults.workerThreads),
        drainTimeout = intOrDefault(
            "drain_seconds",
            DaemonRanges.DRAIN_SECONDS,
            defaults.drainTimeout.inWholeSeconds.toInt(),
        ).seconds,
        tokenLifetime = intOrDefault(
            "token_seconds",
            DaemonRanges.TOKEN_SECONDS,
            defaults.tokenLifetime.inWholeSeconds.toInt(),
        ).seconds,
    )
    rejectUnknownKeys()
    return limits
}

/** Returns [default] for an invalid value, so that reading continues; the reader then returns only the errors. */
private fun TomlTableReader.intOrDefault(key: String, range: IntRange, default: Int): Int =
    int(key, range, default) ?: default

private fun TomlTableReader.routingSettings(): RoutingSettings? {
    val policiesByCode = RoutingPolicyName.entries.associateBy(RoutingPolicyName::code)
    val policy = choice("policy", policiesByCode, RoutingSettings().policy)
    rejectUnknownKeys()
    return policy?.let(::RoutingSettings)
}

private fun TomlTableReader.seedSettings(): SeedSettings {
    val peers = strings("peers", StringFormat.ADDRESS)
    rejectUnknownKeys()
    return SeedSettings(peers.map(::InstanceAddress))
}
