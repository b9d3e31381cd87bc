"""System variables that the proxy reports and the values that it accepts for them."""

import os

from heatherpier import __version__

SQL_MODE = (
    "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
    "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION"
)
ISOLATION_LEVEL = "REPEATABLE-READ"
UTF8_CHARSETS = ("UTF8MB4", "UTF8MB3", "UTF8")

SYSTEM_VARIABLES = {
    "auto_increment_increment": "1",
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_database": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "collation_connection": "utf8mb4_0900_ai_ci",
    "collation_database": "utf8mb4_0900_ai_ci",
    "collation_server": "utf8mb4_0900_ai_ci",
    "default_storage_engine": "InnoDB",
    "init_connect": "",
    "interactive_timeout": "28800",
    "license": "GPL",
    "lower_case_table_names": "0",
    "max_allowed_packet": "4194304",
    "max_execution_time": "0",
    "net_buffer_length": "16384",
    "net_write_timeout": "60",
    "performance_schema": "0",
    "query_cache_size": "0",
    "query_cache_type": "OFF",
    "sql_auto_is_null": "0",
    "sql_mode": SQL_MODE,
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": ISOLATION_LEVEL,
    "transaction_read_only": "0",
    "tx_isolation": ISOLATION_LEVEL,
    "tx_read_only": "0",
    "version": "8.0.29",
    "version_comment": f"heatherpier {__version__}",
    "version_compile_machine": os.uname().machine,
    "version_compile_os": "Linux",
    "wait_timeout": "28800",
}

# Values that a SET may assign without effect, since every instance already works this
# way; None accepts any value. Weaker isolation levels are accepted, since the level of
# the instances is stronger.
ACCEPTED_VALUES = {
    "character_set_client": UTF8_CHARSETS,
    "character_set_connection": UTF8_CHARSETS,
    "character_set_results": (*UTF8_CHARSETS, "NULL"),
    "foreign_key_checks": ("1", "ON"),
    "interactive_timeout": None,
    "max_execution_time": ("0",),
    "net_read_timeout": None,
    "net_write_timeout": None,
    "sql_auto_is_null": ("0", "OFF"),
    "sql_mode": ("STRICT_TRANS_TABLES", SQL_MODE),
    "sql_quote_show_create": ("1", "ON"),
    "sql_safe_updates": ("0", "OFF"),
    "sql_select_limit": ("DEFAULT", "18446744073709551615"),
    "time_zone": ("SYSTEM", "UTC", "+00:00"),
    "transaction_isolation": (
        "READ-UNCOMMITTED",
        "READ-COMMITTED",
        "REPEATABLE-READ",
    ),
    "transaction_read_only": ("0", "OFF"),
    "unique_checks": ("1", "ON"),
    "wait_timeout": None,
}
