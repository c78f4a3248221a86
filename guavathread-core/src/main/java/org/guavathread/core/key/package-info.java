/** API keys: which workspace a key stands for, and what ends when a key is withdrawn. */
package org.guavathread.core.key;
