// RAII wrappers of the SQLite C API: a database handle and its prepared statements. Each call ends in a
// value, in the end of the rows or in a typed error; none of the three is taken for another.
#ifndef VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_

#include <sqlite3.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace violetwing::sqlite {

/// What a step of a statement has led to.
enum class StepResult {
  kRow,    ///< the columns hold a row
  kEnd,    ///< there are no more rows
  kError,  ///< nothing is known of the rows that are left; see Statement::error
};

/// One execution of a prepared statement: bind the parameters, then step. The statement is reset when this
/// object ends, so that no read stays open. Parameters count from 1, columns from 0.
class Statement {
 public:
  /// `statement` is owned by the database; null if it could not be prepared for the reason `error`, in which
  /// Run and Next then end too.
  Statement(sqlite3_stmt* statement, std::error_code error);
  ~Statement();
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  /// Set a parameter; the value is copied.
  Statement& Bind(int parameter, std::uint64_t number);
  Statement& BindText(int parameter, const std::string& text);
  Statement& BindBlob(int parameter, const std::string& bytes);

  /// Executes a statement without rows. Errors: any StorageErrc that FromSqlite returns.
  std::error_code Run();
  /// Advances to the next row.
  StepResult Next();
  /// Why Next has returned kError, or the statement could not be prepared or bound; success otherwise.
  std::error_code error() const { return error_; }

  /// Whether the current row has an integer, or text, in the column.
  bool IsInteger(int column) const;
  bool IsText(int column) const;
  /// Columns of the current row.
  int Int(int column) const;
  std::uint64_t Unsigned(int column) const;
  std::string Text(int column) const;
  std::string Blob(int column) const;

 private:
  void Check(int code);

  sqlite3_stmt* const statement_;
  std::error_code error_;
};

/// A database file. It is used by one thread at a time.
class Database {
 public:
  /// Opens or creates the file through SQLite's default VFS. Nothing is read yet. Errors: StorageErrc.
  std::error_code Open(const std::string& file);
  /// Executes SQL text without parameters, of one or more statements; rows are dropped. Errors: StorageErrc.
  std::error_code Execute(const char* sql);
  /// A statement to bind and run. It is prepared once and cached by its text; at most one execution of the
  /// same text may exist at a time. Its error is kForeignSchema if the text does not fit the tables.
  Statement Prepare(const std::string& sql);
  /// Whether a transaction is open.
  bool InTransaction() const { return sqlite3_get_autocommit(handle_.get()) == 0; }
  /// Whether the file is empty although a write-ahead log with content lies beside it. SQLite would delete
  /// the log; so this is to be asked before anything is read.
  bool IsEmptyBesideLog() const;
  /// Whether the file is shorter than its header says. False for a file without a header.
  bool IsShorterThanHeader() const;
  /// SQLite's text for the last failed call of this object or of its statements.
  std::string ErrorMessage() const;

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close(handle); }
  };
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };

  // The file of the operating system, or of another VFS; null if there is none.
  sqlite3_file* File() const;
  // Empty on an error.
  std::string ReadHeader() const;

  std::string path_;
  std::unique_ptr<sqlite3, Close> handle_;
  std::map<std::string, std::unique_ptr<sqlite3_stmt, Finalize>> statements_;  // by text; closed before it
};

/// The StorageErrc for a result code of SQLite, also an extended one; success for SQLITE_OK, ROW and DONE.
std::error_code FromSqlite(int code);

}  // namespace violetwing::sqlite

#endif  // VIOLETWING_CONTROL_STORAGE_SQLITE_HPP_
