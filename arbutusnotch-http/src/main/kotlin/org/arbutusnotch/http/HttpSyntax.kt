/*
 * Rules of HTTP that hold for requests and responses alike.
 */
package org.arbutusnotch.http

/** Checks parts of heads (RFC 9110, section 5.6.2). */
public object HttpSyntax {
    private const val TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~"

    /** Returns whether [text] is a token, as a method and the name of a header field are. */
    public fun isToken(text: String): Boolean = text.isNotEmpty() && text.all { isTokenCharacter(it) }

    /** Returns whether a token may contain [character]. */
    public fun isTokenCharacter(character: Char): Boolean =
        character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in TOKEN_PUNCTUATION
}
