/*
 * Valid files that the tests modify, and helper functions that read them.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.arbutusnotch.core.configuration.DeploymentConfiguration
import java.nio.file.Path

internal const val FILE_NAME = "deployment.toml"
internal val EXAMPLES: Path = Path.of("../examples")

internal const val VALID_OPERATORS_FILE = """revision = 7
deployment = "tower"

[targets]
first_token_millis = 320
between_tokens_millis = 26

[[clients]]
name = "climbs"
concurrent_requests = 50

[[workspaces]]
name = "harbour"
client = "climbs"

[[callers]]
name = "guides"
workspace = "harbour"
priority = 9
key_sha256 = "ca177a48a0b2dc5a019a9376f45780bb3ceeae2c828e9d1648bdcaeca7cce641"

[[models]]
name = "briefing"
prefill_pool = "reading"
decode_pool = "writing"

[[pools]]
name = "reading"
kind = "prefill"

[[pools]]
name = "writing"
kind = "decode"

[[pools]]
name = "desk"
kind = "service"

[[servers]]
address = "127.0.0.1:9001"
pool = "reading"
failure_domain = "east-a"
slots = 4
fencing = true
state = "live"

[[servers]]
address = "127.0.0.1:9002"
pool = "writing"
failure_domain = "east-b"
slots = 20
fencing = false
state = "leaving"

[[servers]]
address = "127.0.0.1:9003"
pool = "desk"
failure_domain = "east-a"
slots = 32

[[services]]
name = "booking"
pool = "desk"

[[services.operations]]
name = "book"
idempotent = false
timeout_millis = 5000

[[services.operations]]
name = "lookup"
idempotent = true
timeout_millis = 1000
"""

internal const val VALID_DAEMON_SETTINGS = """[instance]
entry_address = "127.0.0.1:18080"
peer_address = "127.0.0.1:18081"
operator_address = "127.0.0.1:18082"
failure_domain = "east-a"

[platform]
address = "127.0.0.1:18000"
"""

internal fun readDeployment(text: String) = DeploymentConfigurationReader.read(text.toByteArray(), FILE_NAME)

internal fun deploymentOf(text: String): DeploymentConfiguration? = readDeployment(text).get()

internal fun deploymentErrors(text: String): List<SettingsError> = readDeployment(text).getError().orEmpty()

internal fun daemonErrors(text: String): List<SettingsError> =
    DaemonSettingsReader.read(text, FILE_NAME).getError().orEmpty()

/** Replaces the only occurrence of [old]; throws if there is not exactly one, so that no test runs unmodified text. */
internal fun String.change(old: String, new: String): String {
    check(split(old).size == 2) { "\"$old\" does not occur exactly once" }
    return replace(old, new)
}
