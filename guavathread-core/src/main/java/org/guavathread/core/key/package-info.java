/** API keys: which workspace a key belongs to, and which requests are cancelled when it is withdrawn. */
package org.guavathread.core.key;
