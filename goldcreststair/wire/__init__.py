"""Messages between daemons: `*.thrift` and the code generated from them."""
