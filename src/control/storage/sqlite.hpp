// RAII wrappers of the SQLite C API: a database handle and its prepared statements. They always distinguish a
// value, the end of the rows and a typed error.
#ifndef VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_

#include <sqlite3.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace violetwing::sqlite {

/// Result of stepping a statement.
enum class StepResult {
  kRow,    ///< a row is available in the columns
  kEnd,    ///< there are no more rows
  kError,  ///< the step failed, and more rows may exist; see Statement::error
};

/// One execution of a prepared statement: bind the parameters, then step. The destructor resets the
/// statement, so that no read transaction stays open. Parameters are numbered from 1, columns from 0.
class Statement {
 public:
  /// `statement` is owned by the database. It is null if it could not be prepared; Run and Next then fail
  /// with `error`.
  Statement(sqlite3_stmt* statement, std::error_code error);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  /// Bind a value to a parameter. The value is copied.
  Statement& Bind(int parameter, std::uint64_t number);
  Statement& BindText(int parameter, const std::string& text);
  Statement& BindBlob(int parameter, const std::string& bytes);

  /// Executes a statement without rows. Errors: any StorageErrc that FromSqlite returns.
  std::error_code Run();
  /// Advances to the next row.
  StepResult Next();
  /// Why Next has returned kError, or why the statement could not be prepared or bound; success otherwise.
  std::error_code error() const { return error_; }

  /// Whether the column of the current row has the type integer or text.
  bool IsInteger(int column) const;
  bool IsText(int column) const;
  /// Values of the columns of the current row.
  int Int(int column) const;
  std::uint64_t Unsigned(int column) const;
  std::string Text(int column) const;
  std::string Blob(int column) const;

 private:
  void RecordError(int code);

  sqlite3_stmt* const statement_;
  std::error_code error_;
};

/// A database file. Must be used by one thread at a time.
class Database {
 public:
  /// Opens or creates the file through SQLite's default VFS, without reading from it. Errors: StorageErrc.
  std::error_code Open(const std::string& file);
  /// Executes one or more SQL statements without parameters; rows are discarded. Errors: StorageErrc.
  std::error_code Execute(const char* sql);
  /// Returns a statement to bind and run. It is prepared once and cached by its text; at most one Statement
  /// of the same text may exist at a time. Its error is kForeignSchema if the text does not match the schema.
  Statement Prepare(const std::string& sql);
  /// Whether a transaction is open.
  bool InTransaction() const { return sqlite3_get_autocommit(handle_.get()) == 0; }
  /// Whether the file is empty although its write-ahead log exists and has content. SQLite would delete the
  /// log at the first read, so this must be checked before.
  bool IsEmptyWithWal() const;
  /// Whether the file is shorter than its header states. False for a file without a header.
  bool IsTruncated() const;
  /// SQLite's message for the last failed call of this object or of its statements.
  std::string ErrorMessage() const;

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close(handle); }
  };
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };

  // The database file in the VFS; null if it is not open.
  sqlite3_file* File() const;
  // Returns an empty string on error.
  std::string ReadHeader() const;

  std::string path_;
  std::unique_ptr<sqlite3, Close> handle_;
  // By SQL text. Declared after handle_, so that the statements are finalized before it is closed.
  std::map<std::string, std::unique_ptr<sqlite3_stmt, Finalize>> statements_;
};

/// Converts a primary or extended result code of SQLite; success for SQLITE_OK, SQLITE_ROW and SQLITE_DONE.
std::error_code FromSqlite(int code);

}  // namespace violetwing::sqlite

#endif  // VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
