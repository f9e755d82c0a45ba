/*
 * Decodes and parses a TOML document. Every error has a position in the file.
 */
package org.arbutusnotch.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import org.tomlj.Toml
import org.tomlj.TomlParseError
import org.tomlj.TomlTable
import org.tomlj.TomlVersion
import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CodingErrorAction

/** Parses [bytes]; returns only the syntax errors, if any, because the parser may misread entries after one. */
internal fun parseToml(bytes: ByteArray, file: String): Result<TomlTable, List<SettingsError>> = when {
    bytes.size > MAXIMUM_FILE_BYTES -> Err(listOf(fileTooLarge(bytes.size, file)))
    else -> decodeUtf8(bytes, file).andThen { text -> parseText(text, file) }
}

private fun parseText(text: String, file: String): Result<TomlTable, List<SettingsError>> {
    val document = Toml.parse(text, TomlVersion.V1_0_0)
    if (!document.hasErrors()) return Ok(document)
    return Err(document.errors().map { error -> syntaxError(error, file) })
}

private fun syntaxError(error: TomlParseError, file: String) = SettingsError(
    file = file,
    line = error.position().line(),
    column = error.position().column(),
    key = "",
    found = error.message.orEmpty().lineSequence().first(),
    allowed = "TOML 1.0",
)

private fun fileTooLarge(size: Int, file: String) = SettingsError(
    file = file,
    line = 1,
    column = 1,
    key = "",
    found = "$size bytes",
    allowed = "at most $MAXIMUM_FILE_BYTES bytes",
)

private fun decodeUtf8(bytes: ByteArray, file: String): Result<String, List<SettingsError>> {
    val decoder = Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
    val input = ByteBuffer.wrap(bytes)
    val output = CharBuffer.allocate(bytes.size)
    val result = decoder.decode(input, output, true)
    output.flip()
    if (!result.isError) return Ok(output.toString())
    return Err(listOf(invalidUtf8(output.toString(), bytes[input.position()], file)))
}

private fun invalidUtf8(validText: String, byte: Byte, file: String) = SettingsError(
    file = file,
    line = validText.count { it == '\n' } + 1,
    column = validText.length - (validText.lastIndexOf('\n') + 1) + 1,
    key = "",
    found = "byte 0x%02x".format(byte),
    allowed = "UTF-8",
)
